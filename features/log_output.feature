Feature: The log is bounded and never waits

  # Guards against a log that slows the node down when everything fails.
  Scenario: Lines beyond the rate are dropped and counted
    When 2000 lines of normal operation are written at once
    Then at most 300 lines come out
    And the next warning tells how many were dropped

  # Guards against lines of normal operation that push out those that explain
  # failures.
  Scenario: Lines about failures come out after a flood of others
    When 2000 lines of normal operation and then 100 notices are written
    Then all 100 notices come out

  # Guards against a node that stops because nobody reads its output.
  Scenario: A reader that does not read loses lines and stops nothing
    When 5000 warnings are written to a pipe that nobody reads
    Then writing them ends, and a later line tells of those that were dropped

  # Guards against a rare event that a frequent one of the same level pushes
  # out of the log.
  Scenario: A rare event comes out during a flood of another
    When 2000 notices of one event and then 1 of another are written
    Then the notice of the other event comes out
