Feature: A few nodes read the platform's store for all nodes

  # Guards against store reads whose number grows with the number of nodes.
  Scenario: Two nodes of a zone read the store for the others
    Given 6 nodes in one zone that read the platform's store
    When operators change the route's prefix
    Then 2 nodes wait for the store
    And all 6 nodes serve the new prefix within 0.5 s

  # Guards against store reads that grow with the number of zones: with five
  # zones, ten long polls at a time were a sixth of all metered calls.
  Scenario: One node of each of five zones reads the store
    Given 10 nodes in 5 zones that read the platform's store
    When operators change the route's prefix
    Then 5 nodes wait for the store
    And all 10 nodes serve the new prefix within 0.5 s

  # Guards against metered calls of a node that is started again, whose entry is
  # still in the directory.
  Scenario: A node that starts again calls the store twice
    Given 6 nodes in one zone that read the platform's store
    When a node that isn't a reader is started again
    Then it has called the store at most 2 times after 2 s
    And it is connected to other nodes

  # Guards against a zone that learns of no change after its readers have
  # failed.
  Scenario: Other nodes read the store after the readers have failed
    Given 6 nodes in one zone that read the platform's store
    When both readers lose power
    And 5 s later operators change the route's prefix
    Then 2 nodes wait for the store
    And all 4 nodes serve the new prefix within 0.5 s

  # Guards against a change that goes unnoticed because the connections on which
  # the readers wait have gone silent.
  Scenario: Silent connections to the store are replaced in time
    Given 6 nodes in one zone that read the platform's store
    When all open connections to the store go silent
    And 0 s later operators change the route's prefix
    Then all 6 nodes serve the new prefix within 2 s

  # Guards against a change that reaches the readers of a zone, but not all of its
  # nodes: the connections that a cut leaves must still join all of them.
  Scenario: A zone that is cut off gets a change from its own readers
    Given 24 nodes in 3 zones that read the platform's store
    When zone "z1" is cut off from the others
    And 0 s later operators change the route's prefix
    Then all 24 nodes serve the new prefix within 2 s

  # Guards against a change that nodes get only after the 2 s after which a silent
  # control link ends.
  Scenario Outline: A change comes into force in time if all control links are silent
    Given 12 nodes in 3 zones that read the platform's store
    When <phase> s later all control links go silent
    And 0 s later operators change the route's prefix
    Then all 12 nodes serve the new prefix within 2 s

    Examples:
      | phase |
      | 0.0   |
      | 0.16  |
      | 0.33  |

  # Guards against metered calls to a store that refuses them, for example when
  # 46 nodes restart together during an outage.
  Scenario: A node that starts during an outage of the store calls it rarely
    Given 6 nodes in one zone that read the platform's store
    When the store refuses all calls and a node starts
    Then the node has called the store at most 8 times after 4 s
