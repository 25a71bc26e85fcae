Feature: Exchanges between nodes survive damage and never mix

  # Guards against a frame that is cut when the wait for it is cancelled.
  Scenario: Frames arrive in pieces
    Then a message that arrives in two pieces around a cancelled wait is read

  # Guards against the next call of a quick gateway being taken for a stray
  # message of the previous one.
  Scenario: A gateway uses its connections again at once
    When 20 callers of node "a1" send 10 requests each, one after another
    Then each gets its own answers

  # Guards against any bytes of a peer that end the node.
  Scenario: A peer sends damaged frames
    Then a node closes the connection of a peer that sends damaged frames

  # Guards against a slow instance that is taken for a silent one.
  Scenario: An instance works longer than the limit for silence
    When a caller of node "a1" sends a request that takes 8 seconds
    Then the caller gets the answer

  # Guards against a caller that waits for a node that vanished.
  Scenario: The node beside the instance goes silent
    When the node beside the instance goes silent while a request runs
    Then the caller gets 502 "peer_lost" with outcome "unknown" within 4 seconds

  # Guards against an operating system that reports the end of a connection
  # differently from the streams in memory.
  Scenario: Callers close or half-close TCP connections
    When callers half-close and close TCP connections while they wait
    Then only the work of the one that closed is cancelled

  # Guards against a request that is lost on a connection that something
  # between the two nodes has forgotten.
  Scenario: A kept connection went silent while nobody used it
    When the kept connections go silent and 6 seconds pass without a request
    Then the next caller gets its answer within 1 second
