Feature: A planned stop interrupts no request

  Scenario Outline: What is in progress finishes before the node exits
    When a node shuts down during "<work>"
    Then all answers are complete and the shutdown waits for them

    Examples:
      | work                          |
      | an upload                      |
      | a long download               |
      | a queued request              |
      | an exchange of another gateway |

  Scenario: The shutdown is bounded
    When a node shuts down while a caller does not read its download
    Then the shutdown gives up after 30 s and reports that it cut work off

  Scenario: Callers learn that the node leaves
    When a node shuts down while callers hold idle connections
    Then readiness fails and answers within the notice close the connection
    And idle connections end after the notice and a late request is not run

  Scenario: The upstream beside a leaving node gets no new work
    When a node with an upstream leaves while requests go on elsewhere
    Then all of them succeed on other instances
    And a call that still arrives is refused as not run and may be retried
