Feature: An instance that ran before the node beside it started

  # Guards against an instance that stands idle for up to 1.5 s after the node
  # beside it was killed, until its next report (worst window of each day that
  # ends with all nodes killed).
  Scenario: A node serves a running instance before its next report
    Given a host whose running instance reports later
    When the node has run for 0.5 s
    Then a request is answered

  # Guards against new work for an instance whose departure was acknowledged by
  # the process before.
  Scenario: An instance that says it is unhealthy waits for its report
    Given a host whose running instance is leaving
    When the node has run for 0.5 s
    Then a request is refused as not run

  # Guards against a count of requests that starts anew with the report.
  Scenario: The first report keeps the cold start's count
    Given a host whose running instance is cold
    When 10 requests come before the first report and 10 after it
    Then it has run at most 5

  # Guards against a departure that is ignored because the instance's start is
  # not known yet, and against a late report that brings it back.
  Scenario: A departure before the first report holds
    Given a host whose running instance reports later
    When it departs and a late report that it is ready follows
    Then a request is refused as not run
