Feature: The log client reports what is known about an append

  # Guards against opening a new connection for each request.
  Scenario: Connections to the log are reused
    Given a log
    When 20 records are appended one after another
    Then the log has 20 records
    And 1 connection was opened to the log

  # Guards against reporting the outcome of a refused append as unknown.
  Scenario: An append that the log refuses is known not to have taken effect
    Given a log
    And the log is configured with {"available": false}
    When a record is appended
    Then the append fails with "log_unavailable" within 0.1 s
    And the log has 0 records

  # Guards against reporting the outcome of an append as unknown although the
  # log refused it because of its rate limit.
  Scenario: An append beyond the log's rate limit is known not to have taken effect
    Given a log
    And the log is configured with {"append_limit": 5}
    When 6 records are appended one after another
    Then the append fails with "log_unavailable" within 0.1 s
    And the log has 5 records

  # Guards against reporting an append as failed that has taken effect or still
  # may.
  Scenario: The outcome of an append whose response is lost is unknown
    Given a log
    And the log is configured with {"lost_answers": 1}
    When a record is appended
    Then the append fails with "append_unknown" within 0.1 s
    And the log has 1 record

  # Guards against an append that waits forever for its response, and against a
  # later append on the silent connection.
  Scenario: The outcome of an append on a silent connection is unknown
    Given a log
    And a connection to the log that went silent after use
    When a record is appended
    Then the append fails with "append_unknown" within 2.1 s
    And the next append succeeds

  # Guards against reporting an append as failed that takes effect after the
  # timeout, so that the caller appends the record again.
  Scenario: An append that exceeds the client's timeout takes effect later
    Given a log
    And the log is configured with {"latency_seconds": 5}
    When a record is appended
    Then the append fails with "append_unknown" within 2.1 s
    And the log has 1 record after 10 s

  # Guards against a read that waits forever for a response.
  Scenario: A read on a silent connection times out
    Given a log
    And a connection to the log that went silent after use
    When the log is read with a wait of 5 s
    Then the read fails with "log_unavailable" within 7.1 s
    And the next append succeeds

  # Guards against reporting the log as unavailable because an idle connection
  # was closed, for example by a restart of the log.
  Scenario: A read is retried if an idle connection is dead
    Given a log
    And 2 idle connections to the log, of which one breaks when it is used
    When the log is read with a wait of 0 s
    Then the read succeeds

  # Guards against mistaking the rest of a cancelled read's response for the
  # response to the next request.
  Scenario: A connection with an unread response is not reused
    Given a log
    When a read is cancelled and a record is appended
    Then the log has 1 record
    And 2 connections were opened to the log

  # Guards against reads that return expired records or a wrong first offset.
  Scenario: The log retains the configured number of records
    Given a log
    And the log is configured with {"retained_records": 3}
    When 5 records are appended one after another
    Then a read from the start returns offsets 2 to 4

  # Guards against reads that return expired records, and against offsets that
  # start again at 0 when all records have expired.
  Scenario: The log retains records for the configured time
    Given a log
    And the log is configured with {"retained_seconds": 60}
    When 5 records are appended one after another
    Then a read from the start returns no records after 61 s
