Feature: An upstream in cold start gets no more than it can bear

  Scenario: A cold upstream that reports itself warm is ramped
    Given an upstream that needs 3 s to warm up
    When 8 callers send requests through two nodes for 14 s
    Then the upstream got more than it bore 0 times
    And it runs 6 requests at once in the end

  Scenario: A restarted upstream is cold again
    Given an upstream that needs 6 s to warm up
    When 8 callers send requests and the upstream restarts after 10 s
    Then the upstream got more than it bore 0 times
    And it runs 6 requests at once in the end

  Scenario: An upstream that announces a cold start gets one request at a time
    Given an upstream that announces "cold"
    When 8 callers send requests through two nodes for 5 s
    Then it never ran more than 1 request at once

  Scenario: A silent return to cold start is noticed by its failures
    Given an upstream that needs 2 s to warm up
    When 8 callers send requests and the upstream falls back after 10 s
    Then the upstream got more than it bore at most 6 times
    And it runs 6 requests at once in the end

  Scenario: A new incarnation waits for requests sent to the previous one
    Given an upstream that announces "warm"
    When it announces a new incarnation while a request of 1 s is in flight
    Then the new incarnation takes work only after that request
