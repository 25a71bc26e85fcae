Feature: The operators' page lists each event of the log

  # Guards against an event that operators find in a log but not on their page,
  # and against a page that lists events which no node writes.
  Scenario: The page and the code have the same events
    When the events of the code and of docs/OPERATIONS.md are collected
    Then both are the same
