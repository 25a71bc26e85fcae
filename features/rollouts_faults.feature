Feature: Canary releases under faults of nodes, links and the store

  # Guards against a roll-out that stays open because the node that decides is
  # killed before it has written its decision.
  Scenario: The deciding node is killed before it writes
    Given a service with old and new instances under load
    When the new version fails 50 % of its requests
    And operators order the new version
    And the store fails from the decision on until the deciding node was killed
    Then the roll-out is "rolled_back" within 8 s
    And one terminal state was written
    And no request reaches version "v2" for 2 s

  # Guards against a roll-out that stays open because the store rejects the node
  # that decides.
  Scenario: The store rejects the deciding node
    Given a service with old and new instances under load
    When operators order the new version
    And the store rejects the deciding node
    Then the roll-out is "completed" within 12 s
    And one terminal state was written

  # Guards against an exposure limit that is exceeded in a part of the fleet that
  # reaches only instances of the new version.
  Scenario: A third of the fleet is partitioned with the new instances
    Given a service with old and new instances under load
    When the new version fails 20 % of its requests
    And operators order the new version
    And 2 s later the hosts of the new instances are partitioned for 14 s
    Then the roll-out is "rolled_back" within 1 s
    And the new version has got at most its share

  # Guards against a good version that is rolled back because of what happens to
  # some instances, and against requests that fail because of the trial then.
  Scenario Outline: Some instances fail during the trial of a good version
    Given a service with old and new instances under load
    When operators order the new version
    And 3 s later <event>
    Then the roll-out is "completed" within 9 s
    And at most <failures> requests have failed

    Examples:
      | event                                  | failures |
      | zone "b" is drained                    | 0        |
      | a new instance crashes                 | 0        |
      | an old instance crashes                | 0        |
      | the node beside a new instance restarts | 20       |

  # Guards against a state that is never written because the roll-out of another
  # service writes to the same topic.
  Scenario: Two services are rolled out at once by a slow store
    Given a service with old and new instances under load
    When the store takes 0.24 s for each call
    And operators order the new version of this and of an unknown service
    Then the roll-out is "completed" within 12 s
    And that of the unknown service is "rolled_back" within 4 s

  # Guards against two terminal states because a write took effect although its
  # response was lost, or took effect late.
  Scenario Outline: Writes without a response
    Given a service with old and new instances under load
    When the store <fault>
    And operators order the new version
    Then the roll-out is "completed" within 20 s
    And one terminal state was written 5 s later

    Examples:
      | fault                              |
      | loses the responses of appends     |
      | runs appends 1.5 s late            |
      | runs appends 4 s late              |
      | takes 0.24 s for each call         |

  # Guards against a terminal state that is never written after an outage of the
  # store, and against requests to a bad version meanwhile.
  Scenario: The store is unavailable while a version turns out to be bad
    Given a service with old and new instances under load
    When the new version fails 50 % of its requests
    And operators order the new version
    And the store is unavailable from 1 s on for 8 s
    Then the roll-out is "rolled_back" within 4 s
    And the new version has got at most its share
    And no request reaches version "v2" for 2 s

  # Guards against an exposure limit that is exceeded because the nodes have lost
  # their state, and against a roll-out that never ends.
  Scenario: All nodes are killed during the trial
    Given a service with old and new instances under load
    When the new version fails 50 % of its requests
    And operators order the new version
    And 1.5 s later all nodes are killed and started again
    Then the roll-out is "rolled_back" within 16 s
    And the new version has got at most its share
    And no request reaches version "v2" for 2 s

  # Guards against a terminal state that changes because all nodes have forgotten
  # it.
  Scenario: All nodes are killed after the roll-out has ended
    Given a service with old and new instances under load
    When the new version fails 50 % of its requests
    And operators order the new version
    Then the roll-out is "rolled_back" within 12 s
    When 1 s later all nodes are killed and started again
    Then no request reaches version "v2" for 12 s
    And one terminal state was written

  # Guards against a node that goes on sending requests to a version that may
  # have been stopped, because it gets no news.
  Scenario: A node without contact sends nothing to the new version
    Given a service with old and new instances under load
    When operators order the new version
    And 2 s later the node beside a new instance is cut off
    Then no request reaches that instance from 3 s to 7 s after that

  # Guards against a roll-out that ends early or never because the age of its
  # order is taken from a clock that has jumped.
  Scenario Outline: The clocks jump while all nodes are restarted
    Given a service with old and new instances under load
    When operators order the new version
    And 1.5 s later all nodes are killed and started again
    And the clocks jump by <seconds> s
    Then the roll-out is "running" within 6 s
    And the roll-out is "completed" within 16 s
    And one terminal state was written

    Examples:
      | seconds |
      | -5      |
      | 5       |

  # Guards against a roll-out that is taken for a deleted one, or a second
  # terminal state, because the store has deleted the records of its topics.
  Scenario: The store loses its history during the trial
    Given a service with old and new instances under load
    When operators order the new version
    And 3 s later the store deletes its history
    Then the roll-out is "completed" within 9 s
    And one terminal state was written

  # Guards against a bad version that is not stopped, or gets too many requests,
  # because a link of an instance delivers messages in one direction only.
  Scenario Outline: A bad version behind a one-way link
    Given a service with old and new instances under load
    When the new version fails 50 % of its requests
    And operators order the new version
    And 1 s later nothing <direction> the node beside a new instance arrives
    Then the roll-out is "rolled_back" within 12 s
    And the new version has got at most its share
    And one terminal state was written

    Examples:
      | direction |
      | from      |
      | to        |
