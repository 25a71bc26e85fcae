Feature: Requests that arrive while a node shuts down

  # Guards against requests that are accepted late in the grace period, sent to
  # an instance, and cut off without a response when the period ends.
  Scenario: No request is cut off at the end of the grace period
    Given a platform with a non-idempotent route and hosts "h1, h2"
    And requests take 0.3 s, and 2.4 s if they begin 2.5 s after a stop
    When "h1" is stopped while callers send requests until its process ends
    Then each request that "h1" has read gets a response, and some are refused
