Feature: A planned stop interrupts no request

  # Guards against a node that exits while requests that it has accepted are
  # still running, so that their callers get incomplete responses.
  Scenario Outline: Work in progress finishes before the node exits
    When a node shuts down during "<work>"
    Then all responses are complete and the shutdown waits for them

    Examples:
      | work                           |
      | an upload                      |
      | a long download                |
      | a queued request               |
      | an exchange of another gateway |

  # Guards against a caller that keeps a node from exiting because it stopped
  # reading its response.
  Scenario: The shutdown has a time limit
    When a node shuts down while a caller does not read its download
    Then the shutdown ends after 30 s and reports that it interrupted work

  # Guards against callers that keep sending requests to a node that exits.
  Scenario: Callers learn that the node leaves
    When a node shuts down while callers hold idle connections
    Then readiness fails and responses within the notice period close the connection
    And idle connections end after the notice period and a late request is not run

  # Guards against gateways that select the upstream of a leaving node, and
  # against a failed request where another instance could run it.
  Scenario: The upstream beside a leaving node gets no new work
    When a node with an upstream leaves while requests continue
    Then all of them succeed on other instances
    And a call that still arrives is refused as not run and may be retried
