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

  # Guards against machines that keep their power and get a change 3 s later,
  # because they wait for readers, or neighbours, that lost theirs (review/12).
  Scenario Outline: A change comes into force in time after a loss of power
    Given <count> nodes in 3 zones that read the platform's store
    When <lost> lose power
    And <seconds> s later operators change the route's prefix
    Then the remaining nodes have the new prefix within 2 s

    Examples:
      | count | lost                | seconds |
      | 12    | all readers         | 0       |
      | 12    | all readers         | 1       |
      | 12    | all readers         | 2       |
      | 30    | 18 nodes of draw 1  | 0       |
      | 30    | 18 nodes of draw 2  | 0       |
      | 30    | 18 nodes of draw 3  | 0       |
      | 30    | 18 nodes of draw 1  | 1       |
      | 30    | 27 nodes of draw 1  | 0       |
      | 30    | 15 nodes of draw 1  | 0       |

  # Guards against nodes that read the store although readers do, which would
  # make the calls grow with the fleet.
  Scenario: The readers alone read the store while nothing happens
    Given 36 nodes in 3 zones that read the platform's store
    When the nodes run for 20 s
    Then no node has substituted a reader
    And 6 nodes wait for the store

  # Guards against substitutes that go on reading once others are elected.
  Scenario: Substitutes of lost readers give way to newly elected ones
    Given 30 nodes in 3 zones that read the platform's store
    When 18 nodes of draw 1 lose power
    And the nodes run for 12 s
    Then no node is a substitute of a reader

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

  # Guards against readers that can't read the store and stay readers, so that no
  # other node reads it.
  Scenario Outline: Other nodes read the store if it rejects its readers
    Given 18 nodes in 3 zones that read the platform's store
    When the store <rejects> all its readers
    And 0 s later operators change the route's prefix
    Then all 18 nodes serve the new prefix within 2 s

    Examples:
      | rejects                |
      | refuses connections of |
      | sends no responses to  |

  # Guards against nodes that stay out of the election after the store has
  # rejected them for a time.
  Scenario: Readers that were rejected read the store again
    Given 6 nodes in one zone that read the platform's store
    When the store refuses connections of all its readers
    And it serves all nodes again after 5 s
    Then the same nodes are readers 3 s later

  # Guards against a node that could read the store, but doesn't, because its
  # reads failed while those of all nodes did.
  Scenario: A node that can read again takes the place of readers that can't
    Given 6 nodes in one zone that read the platform's store
    When the store refuses connections of all nodes
    And 5 s later it serves one node that is no reader
    And 2 s later operators change the route's prefix
    Then all 6 nodes serve the new prefix within 2 s

  # Guards against a node that stays out of the election because of what its
  # earlier process said.
  Scenario: A rejected reader that is started again reads the store
    Given 6 nodes in one zone that read the platform's store
    When the store refuses connections of all its readers
    And it serves all nodes again after 5 s
    And the rejected readers are started again
    Then the same nodes are readers 5 s later

  # Guards against metered calls to a store that refuses them, for example when
  # 46 nodes restart together during an outage.
  Scenario: A node that starts during an outage of the store calls it rarely
    Given 6 nodes in one zone that read the platform's store
    When the store refuses all calls and a node starts
    Then the node has called the store at most 8 times after 4 s
