Feature: Endless responses of an instance

  # Guards against reading from a connection until the caller disconnects,
  # although no response to its request can follow.
  Scenario Outline: Endless bytes that are no response close the connection early
    Given a platform with hosts "h1"
    When the instance of "h1" sends <bytes> without end to a waiting caller
    Then the caller receives 502 and the connection is closed within 0.3 s

    Examples:
      | bytes                      |
      | header lines               |
      | a header line              |
      | bytes without a line       |
      | interim responses          |
      | answers to another request |

  # Guards against forwarding an endless body beyond the caller's deadline, for
  # as long as the caller keeps its connection open.
  Scenario Outline: An endless body is truncated after the deadline
    Given a platform with hosts "h1"
    When the instance of "h1" sends <bytes> without end to a waiting caller
    Then the caller's response is truncated and the connection is closed within 1.5 s

    Examples:
      | bytes                   |
      | a body without a length |
      | a body of chunks        |
      | a chunk's head          |
