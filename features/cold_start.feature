Feature: An upstream in its cold start gets no more than it can sustain

  # Guards against a cold upstream that is overloaded because it announces
  # itself as warm.
  Scenario: The ramp applies to a cold upstream that announces itself as warm
    Given an upstream that needs 3 s to warm up
    When 8 callers send requests through two nodes for 14 s
    Then the upstream was overloaded 0 times
    And at the end it runs 6 requests concurrently

  # Guards against a restarted upstream that is overloaded because the limit of
  # its previous incarnation still applies.
  Scenario: A restarted upstream is cold again
    Given an upstream that needs 6 s to warm up
    When 8 callers send requests and the upstream restarts after 10 s
    Then the upstream was overloaded 0 times
    And at the end it runs 6 requests concurrently

  # Guards against an upstream that announces itself as cold and collapses
  # because several nodes send it requests at the same time.
  Scenario: An upstream that announces a cold start gets one request at a time
    Given an upstream that announces "cold"
    When 8 callers send requests through two nodes for 5 s
    Then it never ran more than 1 request concurrently

  # Guards against overload of an upstream that becomes cold without a restart
  # or an announcement, so that only its responses show it.
  Scenario: An unannounced return to the cold state is detected by its failures
    Given an upstream that needs 2 s to warm up
    When 8 callers send requests and the upstream becomes cold after 10 s
    Then the upstream was overloaded at most 6 times
    And at the end it runs 6 requests concurrently

  # Guards against overload of a new incarnation by new requests in addition to
  # those that were sent to the previous one and may have reached it.
  Scenario: A new incarnation waits for requests sent to the previous one
    Given an upstream that announces "warm"
    When it announces a new incarnation while a request of 1 s is in flight
    Then the new incarnation accepts requests only after that request
