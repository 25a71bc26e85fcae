Feature: Endless responses of an instance

  # Guards against reading from a connection until the caller disconnects,
  # although no response to its request can follow.
  Scenario Outline: An instance sends endless bytes in place of a response
    Given a platform with hosts "h1"
    When the instance of "h1" sends <bytes> without end to a waiting caller
    Then the caller receives 502 and the connection is closed within 0.3 s

    Examples:
      | bytes                        |
      | header lines                 |
      | a header line                |
      | bytes without a line end     |
      | interim responses            |
      | responses to another request |

  # Guards against forwarding an endless body after the caller's deadline until
  # the caller disconnects.
  Scenario Outline: An endless body is truncated after the deadline
    Given a platform with hosts "h1"
    When the instance of "h1" sends <bytes> without end to a waiting caller
    Then the caller's response is truncated and the connection is closed within 1.5 s

    Examples:
      | bytes                     |
      | a body without a length   |
      | a body of chunks          |
      | a body of one-byte chunks |
      | a chunk's head            |
