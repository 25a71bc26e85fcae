Feature: A publication takes effect once or not at all

  # Guards against a publisher that reports the wrong outcome because requests
  # or responses of the log were lost or delayed.
  Scenario: Concurrent publishers report the true outcome on a faulty log
    Then the results of concurrent publishers match a replay of the log

  # Guards against a repeated append that takes effect as another version.
  Scenario: A lost response does not publish twice
    Given a log that loses the next 2 responses to appends
    When an operator publishes a configuration
    Then the publication is "accepted"
    And the configuration is in force as version 1

  # Guards against a publication that is reported as possibly accepted although
  # it can't have reached the log.
  Scenario: The log is unavailable before anything was appended
    Given a log that refuses connections
    When an operator publishes a configuration
    Then nothing was published because the log is unavailable

  # Guards against a definite outcome that is reported although the append may
  # have taken effect.
  Scenario: The log stays unavailable after an append without a response
    Given a log that loses the next 1 responses to appends and then fails
    When an operator publishes a configuration
    Then the publication is "unknown"

  # Guards against a publication that replaces one that its author has not seen,
  # and against one that is reported as accepted although it has no effect.
  Scenario: Two operators publish on the same base
    Given a log that another operator appends to first on base 0
    When an operator publishes a configuration
    Then the publication is rejected in favour of that of "other"

  # Guards against a system in which nothing can be published any more after all
  # nodes were down until the log had deleted every record.
  Scenario: An operator recovers the configuration after all records expired
    Given a log whose records have all expired
    When an operator recovers version 9 and a response is lost
    Then a new reader starts at version 9
    And the next publication is accepted as version 10
