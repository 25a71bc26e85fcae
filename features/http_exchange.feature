Feature: Exchanges between nodes tolerate errors and are never mixed up

  # Guards against a frame that loses bytes when the wait for it is cancelled.
  Scenario: Frames arrive in two reads
    Then a message that arrives in two reads around a cancelled wait is received

  # Guards against calls of a fast gateway that fail because the node mistakes
  # them for unexpected messages of the previous exchange.
  Scenario: A gateway reuses its connections immediately
    When 20 callers of node "a1" send 10 requests each, one after another
    Then each receives the responses to its own requests

  # Guards against bytes from a peer that stop the node.
  Scenario: A peer sends malformed frames
    Then a node closes the connection of a peer that sends malformed frames

  # Guards against a request that fails because its slow instance is mistaken
  # for a node that does not respond.
  Scenario: An instance works longer than the silence limit
    When a caller of node "a1" sends a request that takes 8 seconds
    Then the caller receives the response

  # Guards against a caller that keeps waiting for a node that has vanished.
  Scenario: The node beside the instance goes silent
    When the node beside the instance goes silent while a request runs
    Then the caller receives 502 "peer_lost" with outcome "unknown" within 4 seconds

  # Guards against cancelling the request of a caller that has closed only its
  # sending side, and against work for a caller that has closed its connection:
  # real sockets may report this differently from the in-memory streams of the
  # other scenarios.
  Scenario: Callers close or half-close TCP connections
    When callers half-close and close TCP connections while they wait
    Then only the work of the caller that closed its connection is cancelled

  # Guards against a request that is lost on an idle connection whose state a
  # device between the two nodes has dropped.
  Scenario: Idle connections went silent
    When the idle connections go silent and 6 seconds pass without a request
    Then the next caller receives its response within 1 second
