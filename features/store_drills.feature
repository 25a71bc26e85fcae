Feature: Nodes follow a store that comes back from an older copy

  # Guards against later configurations that all nodes ignore after a drill,
  # because the log is shorter than it was before it (review/11).
  Scenario Outline: A configuration that follows a drill comes into force in time
    Given 6 nodes in 3 zones that read the platform's store
    When the store comes back from a copy without the last 4 configurations
    And <seconds> s later the operator writes <what> again
    And 8 s later the operator writes a further configuration
    Then all nodes have the newest configuration within 2 s
    And no node has gone back to an older configuration

    Examples:
      | what                                 | seconds |
      | the newest one                       | 0.3     |
      | the newest one                       | 3       |
      | the newest one with a higher version | 0.3     |
      | all of them                          | 0.3     |
      | all of them and another one          | 0.3     |
      | none of them                         | 0       |

  # Guards against a node that goes back to what the copy holds, or to nothing.
  Scenario: A copy without any configuration changes nothing
    Given 6 nodes in 3 zones that read the platform's store
    When the store comes back from an empty copy
    And 3 s later the operator writes the newest one again
    And 8 s later the operator writes a further configuration
    Then all nodes have the newest configuration within 2 s
    And no node has gone back to an older configuration

  # Guards against nodes that ignore an era in which nothing was lost.
  Scenario: A store that has lost nothing is followed
    Given 6 nodes in 3 zones that read the platform's store
    When the store comes back from a copy without the last 0 configurations
    And 0 s later the operator writes a further configuration
    Then all nodes have the newest configuration within 2 s
    And the metric of each node says era 2

  # Guards against nodes that read on from an offset that was given out again. The
  # store has such an offset, so it doesn't respond with 410.
  Scenario: Offsets that were given out again are noticed without a 410
    Given 6 nodes in 3 zones that read the platform's store
    When the store comes back from a copy without the last 4 configurations
    And the log has grown beyond what the nodes have read when they reach it
    Then all nodes have the newest configuration within 2 s
    And no zone is withdrawn at any node

  # Guards against nodes that take the copy for the operator's will.
  Scenario: A withdrawal that the store has lost stays in force
    Given 6 nodes in 3 zones that read the platform's store
    When zone "z1" is withdrawn, and the store loses that in a drill
    Then zone "z1" is withdrawn at all nodes during the next 3 s
    When the operator withdraws zone "z1" again, and restores it 20 s later
    Then no zone is withdrawn at any node within 2 s

  # Guards against a withdrawal that stays in force without end, because it was
  # restored while no node read the store.
  Scenario: A lost withdrawal that isn't written again ends
    Given 6 nodes in 3 zones that read the platform's store
    When zone "z1" is withdrawn, and the store loses that in a drill
    Then zone "z1" is withdrawn at all nodes during the next 13 s
    And no zone is withdrawn at any node within 5 s

  # Guards against a node that knows the copy alone and tells the others, or
  # serves it itself although its neighbours know better.
  Scenario Outline: Nodes that start during a drill learn what the others know
    Given 6 nodes in 3 zones that read the platform's store
    When zone "z1" is withdrawn, and the store loses that in a drill
    And <nodes> are started again
    Then zone "z1" is withdrawn at all nodes during the next 3 s
    And no node that runs on has gone back to an older configuration
    And all nodes have the newest configuration within 0.1 s

    Examples:
      | nodes             |
      | all readers but 1 |
      | 3 nodes           |

  # Guards against an era that is taken for the one before.
  Scenario: A second drill soon after the first one is followed
    Given 6 nodes in 3 zones that read the platform's store
    When the store comes back from a copy without the last 4 configurations
    And 0.3 s later the operator writes the newest one again
    And 3 s later the store comes back from the same copy
    And 0.3 s later the operator writes the newest one again
    And 8 s later the operator writes a further configuration
    Then all nodes have the newest configuration within 2 s
    And no node has gone back to an older configuration

  # Guards against a zone whose own readers are the only ones that it hears of.
  Scenario: A zone that is cut off follows the store after a drill
    Given 12 nodes in 3 zones that read the platform's store
    When zone "z1" is cut off from the others
    And the store comes back from a copy without the last 4 configurations
    And 0.3 s later the operator writes the newest one again
    And 4 s later the operator writes a further configuration
    Then all nodes have the newest configuration within 2 s

  # Guards against calls to the store that grow with the fleet, and against
  # departures and entries of nodes that are gone after a drill.
  Scenario Outline: What nodes had stored is written again in a few calls
    Given <count> nodes in 3 zones that read the platform's store
    When an instance departs, and the store loses all that nodes had stored
    Then it is stored again within 8 s
    And the drill has cost at most 24 calls

    Examples:
      | count |
      | 12    |
      | 36    |

  # Guards against a change that a node with the earlier offset alone, such as
  # one of an earlier release, keeps from its neighbours.
  Scenario: A neighbour that knows no eras doesn't bring back what it holds
    Given a node that has followed the store through a drill
    When a neighbour without eras announces a higher offset
    Then the node keeps its configuration and follows the store's next one

  # Guards against a state whose meaning depends on the order in which nodes
  # read the store and each other.
  Scenario: Nodes that read and exchange states in any order agree with the store
    Then random orders of writes, drills, reads, restarts and exchanges agree

  # Guards against a node that takes an order of an earlier era for a later one,
  # and begins its roll-out again, because it has just started.
  Scenario: A node that starts after a drill learns the numbers of orders
    Given a node that has read an order in era 1
    When the store comes back with the order, and a node starts in era 2
    Then both know the order by its first number

  # Guards against a roll-out that begins again, and exposes callers to a version
  # that was rolled back, because its order was written again at another offset.
  Scenario Outline: An order that is written again keeps its number
    Given a node that has read an order in era 1
    When the store loses the order and the node reads <first> in era 2
    And the order is written again and the node <how>
    Then the order has its first number, also after a further record

    Examples:
      | first        | how               |
      | all keys     | reads on          |
      | all keys     | reads all keys    |
      | the new ones | hears of it first |
