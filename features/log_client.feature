Feature: The log client tells what it knows of an append

  Scenario: Connections to the log are used again
    Given a log
    When 20 records are appended one after another
    Then the log has 20 records
    And 1 connection was opened to the log

  Scenario: An append that the log refuses is certainly not appended
    Given a log
    And the log is set to {"available": false}
    When a record is appended
    Then the append fails with "log_unavailable" within 0.1 s
    And the log has 0 records

  Scenario: An append beyond the log's rate is certainly not appended
    Given a log
    And the log is set to {"append_limit": 5}
    When 6 records are appended one after another
    Then the append fails with "log_unavailable" within 0.1 s
    And the log has 5 records

  Scenario: An append whose answer is lost is unknown
    Given a log
    And the log is set to {"lost_answers": 1}
    When a record is appended
    Then the append fails with "append_unknown" within 0.1 s
    And the log has 1 record

  Scenario: An append on a connection that went silent is unknown
    Given a log
    And a connection to the log that went silent after use
    When a record is appended
    Then the append fails with "append_unknown" within 2.1 s
    And the next append succeeds

  Scenario: An append slower than the client waits takes effect later
    Given a log
    And the log is set to {"latency_seconds": 5}
    When a record is appended
    Then the append fails with "append_unknown" within 2.1 s
    And the log has 1 record after 10 s

  Scenario: A read on a connection that went silent fails in time
    Given a log
    And a connection to the log that went silent after use
    When the log is read with a wait of 5 s
    Then the read fails with "log_unavailable" within 7.1 s
    And the next append succeeds

  Scenario: A read is repeated when an idle connection turns out to be dead
    Given a log
    And 2 idle connections to the log, of which one breaks when it is used
    When the log is read with a wait of 0 s
    Then the read succeeds

  Scenario: A connection whose answer was not read to its end is not used again
    Given a log
    When a read is cancelled and a record is appended
    Then the log has 1 record
    And 2 connections were opened to the log

  Scenario: The log keeps as many records as it is told
    Given a log
    And the log is set to {"retained_records": 3}
    When 5 records are appended one after another
    Then a read from the start gives offsets 2 to 4

  Scenario: The log keeps records as long as it is told
    Given a log
    And the log is set to {"retained_seconds": 60}
    When 5 records are appended one after another
    Then a read from the start gives no record after 61 s
