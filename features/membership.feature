Feature: Nodes agree on who is there without a list

  Scenario: A node that ends without a word is not kept as alive
    Given 12 nodes that know each other
    When one node is killed
    Then all others hold it to be dead within 5 seconds

  Scenario: A node that falls silent without closing connections is not kept
    Given 12 nodes that know each other
    When one node loses all its traffic for 20 seconds
    Then all others hold it to be dead within 7 seconds
    And all nodes agree again 15 seconds after the traffic is back

  Scenario: A replaced host is not confused with its predecessor
    Given 12 nodes that know each other
    When one node is killed and started again without state
    Then all nodes agree again 5 seconds after the start

  Scenario: Two halves that lost each other find each other
    Given 12 nodes that know each other
    When two halves lose each other for 120 seconds
    Then all nodes agree again 60 seconds after the traffic is back

  Scenario: A dead node's address is not forgotten while regions are apart
    Given a node that was declared dead
    When 3600 seconds pass
    Then its address is still known

  Scenario: One broken pair of nodes does not remove either of them
    Given 12 nodes that know each other
    When one pair of neighbours loses its traffic for 60 seconds
    Then no node holds another to be dead

  Scenario: A configuration reaches nodes that can't reach the log
    Given 12 nodes that know each other
    When one node takes a configuration from the log
    Then it is in force on all nodes within 1 second

  # Guards against a text that crosses each link in both directions.
  Scenario: A node fetches a configuration once
    Given 12 nodes that know each other
    When one node takes a configuration from the log
    Then its text was sent at most 11 times

  # Guards against an instance that stands idle beside a node that was stopped
  # and started again in an outage of the store (incident inc-3126: 4.2 s).
  Scenario: A node that is restarted without the log learns the configuration
    Given 12 nodes that know each other
    When each of 4 nodes leaves, ends and starts again 3 s later without seeds
    Then each has the configuration 1 s after its start

  Scenario: A stranger without the secret learns nothing
    Given 2 nodes that know each other
    When a stranger with another secret connects
    Then its connection is rejected and no member is added
