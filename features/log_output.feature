Feature: Log output is limited in rate and never blocks

  # Guards against a node that is slowed down by its log when many requests
  # fail.
  Scenario: Lines beyond the rate are dropped and counted
    When 2000 lines of normal operation are logged at once
    Then at most 300 lines are written
    And the next warning reports how many were dropped

  # Guards against lines of normal operation that use up the rate, so that lines
  # that explain failures are dropped.
  Scenario: Lines about failures are written after many others
    When 2000 lines of normal operation and then 100 notices are logged
    Then all 100 notices are written

  # Guards against a node that blocks because its output is not read.
  Scenario: Lines are dropped without blocking if the output is not read
    When 5000 warnings are logged to a pipe that is not read
    Then no write blocks and a later line reports the dropped ones

  # Guards against a rare event that is dropped because a frequent event of the
  # same level uses up the rate.
  Scenario: A rare event is written although another is frequent
    When 2000 notices of one event and then 1 of another are logged
    Then the notice of the other event is written

  # Guards against a line that is lost, with a traceback in its place each time,
  # because a value from outside can't be encoded (review/7).
  Scenario: A value that is no text is written with an escape
    When a warning with a lone surrogate is logged
    Then the line shows it as "\ud83d"
