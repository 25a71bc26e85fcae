Feature: A node discovers an instance that was started before it

  # Guards against an instance that is idle for up to 1.5 s, until its next
  # report, after the node beside it was killed. This was the worst window of
  # each simulated day that ends with all nodes killed.
  Scenario: A node serves a running instance before its next report
    Given a host whose running instance reports later
    When the node has run for 0.5 s
    Then a request succeeds

  # Guards against new work for an instance whose departure the previous node
  # process has acknowledged.
  Scenario: An unhealthy instance is not attached before its report
    Given a host whose running instance is leaving
    When the node has run for 0.5 s
    Then a request is refused as not run

  # Guards against a cold instance that gets its permitted requests twice,
  # because the count restarts at the first report.
  Scenario: The first report keeps the count of cold-start requests
    Given a host whose running instance is cold
    When 10 requests arrive before the first report and 10 after it
    Then it has run at most 5

  # Guards against a cold instance that gets its permitted requests twice within
  # a second, because the node beside it was killed and started again meanwhile.
  Scenario: A restarted node counts what the killed one may have sent
    Given a host whose running instance has been cold for 1.2 s
    When 20 requests arrive within 0.6 s of the node's start
    Then it has run at most 3

  # Guards against new work for an instance whose departure the killed process
  # had acknowledged, because it still serves and its health check succeeds.
  Scenario: A departed instance stays departed after a restart of its node
    Given two hosts of which the first one's instance has departed
    When the node of the first host is killed and started again
    Then no request of either node reaches the departed instance

  # Guards against a departure that is ignored because the instance's
  # incarnation is not known yet, and against a late report that reverts it.
  Scenario: A departure before the first report stays in effect
    Given a host whose running instance reports later
    When it departs and a late report that it is ready follows
    Then a request is refused as not run

  # Guards against an instance that returns cold under its id and gets its
  # permitted requests twice, before and after its first report.
  Scenario: A restarted instance's first report keeps the count of requests
    Given a host whose running instance reports later
    When it reports, crashes and returns cold, and 10 requests arrive before and 10 after its next report
    Then it has run at most 5 since its return
