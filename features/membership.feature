Feature: Nodes agree on the members of the cluster without a central list

  # Guards against gateways that still choose the instance beside a node whose
  # process was killed.
  Scenario: A node that exits without leaving is declared dead
    Given 12 nodes that know each other
    When one node is killed
    Then all other nodes see it as dead within 5 seconds

  # Guards against a host that hangs or is cut off: its connections stay open,
  # so that only missing heartbeats show it.
  Scenario: A node that goes silent without closing connections is declared dead
    Given 12 nodes that know each other
    When one node loses all its traffic for 20 seconds
    Then all other nodes see it as dead within 7 seconds
    And all nodes agree again 15 seconds after the traffic resumes

  # Guards against a restarted node that others still see as dead, because the
  # entry of its previous process counts as newer.
  Scenario: A replaced host is not confused with its predecessor
    Given 12 nodes that know each other
    When one node is killed and restarted without state
    Then all nodes agree again 5 seconds after the start

  # Guards against two halves of a cluster that still see each other as dead
  # after the network between them is repaired.
  Scenario: Two partitions of the cluster merge again
    Given 12 nodes that know each other
    When the cluster is partitioned into two halves for 120 seconds
    Then all nodes agree again 60 seconds after the traffic resumes

  # Guards against partitioned regions that can't reconnect because each has
  # removed the addresses of the other.
  Scenario: A dead node's address is kept while regions are partitioned
    Given a node that was declared dead
    When 3600 seconds pass
    Then its address is still known

  # Guards against the removal of a node that only one of its neighbours can't
  # reach.
  Scenario: A broken link between two nodes removes neither of them
    Given 12 nodes that know each other
    When one pair of neighbours loses its traffic for 60 seconds
    Then no node sees another as dead

  # Guards against nodes that keep the old configuration while they can't reach
  # the log, and for example send requests to a withdrawn zone.
  Scenario: A configuration reaches nodes that can't reach the log
    Given 12 nodes that know each other
    When one node reads a configuration from the log
    Then it is in force on all nodes within 1 second

  # Guards against a message for each change and link: when 195 nodes started at
  # once, these messages took more processor time than the start of a process.
  Scenario: Changes that come in quick succession are sent together
    Given 40 nodes that know each other
    When each node changes its entry twice within 1 s
    Then no link carries more than 21 messages with entries in a second
    And all nodes have the newest entries 1 s later

  # Guards against sending the text over each link in both directions.
  Scenario: Each node receives the text of a configuration once
    Given 12 nodes that know each other
    When one node reads a configuration from the log
    Then its text was sent at most 11 times

  # Guards against an instance that is idle because the node beside it was
  # restarted during an outage of the store (incident inc-3126: 4.2 s).
  Scenario: A node that is restarted without the log learns the configuration
    Given 12 nodes that know each other
    When each of 4 nodes leaves, exits and restarts 3 s later without seeds
    Then each has the configuration 1 s after its start

  # Guards against a node of another cluster, or an attacker, that joins or
  # reads the member table.
  Scenario: A node with another secret is rejected
    Given 2 nodes that know each other
    When a node with another secret connects
    Then its connection is rejected and no member is added

  # Guards against bytes between zones that grow with the square of the fleet: a
  # sweep with 300 nodes sent 0.253 GB, since each change of a member crossed
  # about 450 links between zones.
  Scenario: Few links lead to other zones
    When 800 nodes in 4 zones choose their neighbours
    Then at most 24 links join different zones
    And all nodes are connected, and so are those of each zone
    And that holds when any 300 of them are lost

  # Guards against a zone that is cut off for good, or for long, because the few
  # nodes that linked it to others were lost.
  Scenario: A zone that loses all its bridges is linked again
    Given 24 nodes in 3 zones that know each other
    When all nodes of a zone that have links to others are killed at once
    Then a configuration that one node read then is in force on all within 4 s

  # Guards against a restart of all nodes in which each exchanges its member
  # table with nodes of other zones, and against zones that never meet again.
  Scenario: A node joins the fleet by nodes of its zone
    Given addresses of 20 nodes, 5 of them in the node's zone
    When it chooses 3 and 1 of them 100 times each
    Then at most 1 of 3 is in another zone
    And a single one is in another zone at least once
