Feature: A gateway chooses instances by version

  # Guards against requests that are withheld where versions say nothing.
  Scenario Outline: Fleets with one version, or without versions
    Given a gateway that knows the versions "<versions>"
    Then the excluded instances are "none"
    And 6 s later the excluded instances are "none"

    Examples:
      | versions             |
      | v1 v1 v1             |
      | none none none       |
      | unknown unknown      |
      | v1 none v1           |

  # Guards against an instance without a version that gets requests while it may
  # be one of the target version, and none after the roll-out has ended.
  Scenario: A roll-out in a fleet without versions
    Given a gateway that knows the versions "none v2"
    When order 1 for "v2" is on trial
    Then the excluded instances are "h0 h1"
    When order 1 for "v2" is on completed
    Then the excluded instances are "h0"

  # Guards against requests to a version before its order because it was in use
  # before those of the present instances.
  Scenario: A version that returns is a new one
    Given a gateway that knows the versions "v1 v1"
    When 10 s later the instance of "h0" has version "v2"
    And 10 s later the instance of "h1" has version "v2"
    And 70 s later the instance of "h2" has version "v1"
    Then the excluded instances are "h2"
    And 6 s later the excluded instances are "none"

  # Guards against requests to an unproven version as soon as no instance of the
  # version in use is left, because none was left in an earlier roll-out either.
  Scenario: Each roll-out waits anew for the version in use
    Given a gateway that knows the versions "v2"
    And order 1 for "v2" is on trial
    When order 1 for "v2" is on completed
    And 70 s later the instance of "h1" has version "v3"
    And the instance of "h0" stops
    And order 2 for "v3" is on trial
    Then the excluded instances are "h1"
    And 4 s later the excluded instances are "none"

  # Guards against a gateway that was started during a replacement without an
  # order, and takes the new version for one that a roll-out has replaced.
  Scenario: A node starts after a roll-out, while a later version replaces others
    Given a gateway that knows the versions "v2 v3"
    When order 1 for "v2" is on completed
    Then the excluded instances are "h1"
    And 6 s later the excluded instances are "none"

  # Guards against requests to a version that has stopped without draining.
  Scenario: The versions before a completed roll-out get no requests
    Given a gateway that knows the versions "v1 v2"
    And order 1 for "v2" is on trial
    When order 1 for "v2" is on completed
    Then the excluded instances are "h0"
    And 6 s later the excluded instances are "h0"

  # Guards against requests of a node that may have missed that the version was
  # stopped while its process was paused.
  Scenario: A process that resumes sends nothing before it has news
    Given a gateway that knows the versions "v1 v2"
    And order 1 for "v2" is on trial
    When the process is paused for 3 s
    Then no request goes to the target version
    When a neighbour has sent something
    Then requests go to the target version again
