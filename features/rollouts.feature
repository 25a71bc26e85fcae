Feature: Canary releases move a service to a new version

  # Guards against a good version that is not completed before its deadline, and
  # against requests that are cut off when the old instances stop.
  Scenario: A good version is completed before its deadline
    Given a service with old and new instances under load
    When operators order the new version
    Then the roll-out is "completed" within 12 s
    And no request runs at an old instance
    And no request reaches version "v1" for 2 s
    And all requests have succeeded

  # Guards against requests to a version that an order names which the nodes do
  # not know yet: its instances report up to 1 s before.
  Scenario: A new version gets few requests before its order
    Given a service with old instances only, under load
    When new instances start
    Then no request reaches version "v2" for 0.9 s
    And the new version has got at most its share 4 s later
    When operators order the new version
    Then the new version has got at most its share 5 s later

  # Guards against instances that get no requests, although they replace others
  # without an order, and against two versions that are not served alike then.
  Scenario: A new version without an order gets requests
    Given a service with old instances only, under load
    When new instances start
    Then requests reach version "v2" within 2 s
    And version "v2" gets at least a fifth of the requests 5 s later

  # Guards against refusals because requests stay with a version that is being
  # replaced.
  Scenario: All instances are replaced one after the other without an order
    Given a service with old instances only, under load
    When all old instances are replaced one after the other
    Then each of the new ones has got requests within 2 s
    And all requests have succeeded

  # Guards against a roll-out that has ended and withholds requests from the
  # versions after it, and against requests to the version that it has ruled out.
  Scenario Outline: Instances are replaced without an order after a roll-out
    Given a service with old and new instances under load
    When the new version fails <percent> % of its requests
    And operators order the new version
    Then the roll-out is "<state>" within 12 s
    When instances of version "v3" start
    Then requests reach version "v3" within 2 s
    And no request reaches version "<other>" for 6 s

    Examples:
      | percent | state       | other |
      | 0       | completed   | v1    |
      | 50      | rolled_back | v2    |

  # Guards against requests that reach a new instance because the node beside it
  # finds it before its first report, and against an instance that never reports
  # and never gets requests.
  Scenario: An instance of unknown version gets no requests at first
    Given a service with old instances only, under load
    When a new instance starts that sends no report
    Then no request reaches version "v2" for 3 s
    And requests reach version "v2" within 4 s

  # Guards against a bad version that gets too many requests, by whatever it is
  # bad, and against requests to it after the roll-out has ended.
  Scenario Outline: A bad version is rolled back
    Given a service with old and new instances under load
    When the new version <fault>
    And operators order the new version
    Then the roll-out is "rolled_back" within 12 s
    And the new version has got at most its share
    And no request reaches version "v2" for 3 s
    And all requests have succeeded

    Examples:
      | fault                           |
      | fails 50 % of its requests      |
      | fails 20 % of its requests      |
      | fails 50 % on one route         |
      | works 3 times longer            |
      | fails all requests after 4 s    |

  # Guards against a version that is completed although its responses never end,
  # because their heads are right. Requests may fail: a request that has run is
  # repeated only within the retry budget.
  Scenario: A version that breaks off its responses is rolled back
    Given a service with old and new instances under load
    When the new version breaks off all of its responses
    And operators order the new version
    Then the roll-out is "rolled_back" within 12 s
    And the new version has got at most its share
    And no request reaches version "v2" for 3 s

  # Guards against a good version that is rolled back because of a fault that
  # also affects the old version.
  Scenario Outline: A fault of both versions does not end a roll-out
    Given a service with old and new instances under load
    When operators order the new version
    And 2 s later both versions <fault> for 1 s
    Then the roll-out is "completed" within 12 s

    Examples:
      | fault                      |
      | fail half of their requests |
      | work 4 times longer        |

  # Guards against an order that is taken for an earlier one of the same service.
  Scenario: A second order follows a rolled back one
    Given a service with old and new instances under load
    When the new version fails 50 % of its requests
    And operators order the new version
    Then the roll-out is "rolled_back" within 12 s
    When the new version is repaired
    And operators order the new version
    Then the roll-out is "running" within 2 s
    And the roll-out is "completed" within 12 s

  # Guards against requests that move to an unproven version when operators order
  # the version in use to end a roll-out.
  Scenario: An order for the version in use ends a trial
    Given a service with old and new instances under load
    When operators order the new version
    And 3 s later operators order the version in use
    Then the roll-out is "completed" within 5 s
    And no request reaches version "v2" for 3 s

  # Guards against a trial that continues after operators have deleted its order.
  Scenario: A deleted order is rolled back
    Given a service with old and new instances under load
    When operators order the new version
    And 3 s later operators delete the order
    Then the roll-out is "rolled_back" within 2 s
    And no request reaches version "v2" for 2 s

  # Guards against a trial without any instance of the new version that ends as
  # completed.
  Scenario: A version without instances is rolled back
    Given a service with old instances only, under load
    When operators order the new version
    Then the roll-out is "rolled_back" within 12 s
    And all requests have succeeded

  # Guards against a roll-out whose progress operators can't see.
  Scenario: The metrics show the phase of a roll-out
    Given a service with old and new instances under load
    When operators order the new version
    Then the metrics show phase 1 of version "v2" after 2 s

  # Guards against messages and calls in deployments without roll-outs.
  Scenario: Without an order there are no notices and no calls
    Given a service with old and new instances under load
    Then no node knows of a roll-out and none has read the status

  # Guards against orders that have an effect where the platform has not set the
  # limits of roll-outs.
  Scenario: Without limits an order has no effect
    Given a service without limits of roll-outs, under load
    When operators order the new version
    Then no node knows of a roll-out after 3 s
