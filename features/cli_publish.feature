Feature: A publication takes effect once or not at all

  Scenario: Racing publishers learn the truth, whatever the log loses
    Then publishers that race over a faulty log report what replay shows

  Scenario: A lost answer does not publish twice
    Given a log that loses the next 2 answers to appends
    When an operator publishes a text
    Then the publication is "accepted"
    And the text is in force as version 1

  Scenario: The log fails before anything was appended
    Given a log that refuses connections
    When an operator publishes a text
    Then nothing was published because the log does not answer

  Scenario: The log fails for long after an append without an answer
    Given a log that loses the next 1 answers to appends and then fails
    When an operator publishes a text
    Then the publication is "unknown"

  Scenario: Two operators publish on the same base
    Given a log with a publication of another operator on base 0
    When an operator publishes a text
    Then the publication loses to that of "other"

  Scenario: The system recovers after the log has forgotten everything
    Given a log whose records have all expired
    When an operator recovers a text as version 9 although an answer is lost
    Then a new reader starts at version 9
    And the next publication is accepted as version 10
