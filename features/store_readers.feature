Feature: A few nodes read the platform's store for all nodes

  # Guards against store reads whose number grows with the number of nodes.
  Scenario: Two nodes of a zone read the store for the others
    Given 6 nodes in one zone that read the platform's store
    When operators change the route's prefix
    Then 2 nodes wait for the store
    And all 6 nodes serve the new prefix within 0.5 s

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
    Then all 6 nodes serve the new prefix within 4 s

  # Guards against metered calls to a store that refuses them, for example when
  # 46 nodes restart together during an outage.
  Scenario: A node that starts during an outage of the store calls it rarely
    Given 6 nodes in one zone that read the platform's store
    When the store refuses all calls and a node starts
    Then the node has called the store at most 8 times after 4 s
