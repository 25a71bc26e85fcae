Feature: A few nodes read the platform's store for all

  # Guards against reads of the store that grow with the number of nodes.
  Scenario: Two nodes of a zone read the store for the others
    Given 6 nodes in one zone that read the platform's store
    When operators change the route's prefix
    Then 2 nodes wait for the store
    And all 6 nodes serve the new prefix within 0.5 s

  # Guards against a zone that learns no change because its readers are gone.
  Scenario: Other nodes read the store after the readers were lost
    Given 6 nodes in one zone that read the platform's store
    When both readers lose power
    And 5 s later operators change the route's prefix
    Then 2 nodes wait for the store
    And all 4 nodes serve the new prefix within 0.5 s

  # Guards against a change that nobody notices because the connections on
  # which the readers wait have gone silent.
  Scenario: Connections to the store that have gone silent are replaced in time
    Given 6 nodes in one zone that read the platform's store
    When all open connections to the store go silent
    And 0 s later operators change the route's prefix
    Then all 6 nodes serve the new prefix within 4 s

  # Guards against priced calls to a store that refuses them (46 nodes that
  # restart together in an outage).
  Scenario: A node that starts in an outage of the store calls it rarely
    Given 6 nodes in one zone that read the platform's store
    When the store refuses all calls and a node starts
    Then the node has called the store at most 8 times after 4 s
