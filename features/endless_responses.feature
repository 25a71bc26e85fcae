Feature: Answers of an instance that have no end

  # Guards against a connection that is read until the caller leaves although
  # nothing on it can become the answer.
  Scenario Outline: Bytes that are no answer end the connection early
    Given a platform with hosts "h1"
    When the instance of "h1" sends <bytes> without end to a patient caller
    Then the caller has got 502 and the connection was closed within 0.3 s

    Examples:
      | bytes                      |
      | header lines               |
      | a header line              |
      | bytes without a line       |
      | interim responses          |
      | answers to another request |

  # Guards against a body without end that is passed on beyond the caller's
  # deadline, for as long as the caller keeps its connection.
  Scenario Outline: A body without end is cut off after the deadline
    Given a platform with hosts "h1"
    When the instance of "h1" sends <bytes> without end to a patient caller
    Then the caller's answer is cut off and the connection was closed within 1.5 s

    Examples:
      | bytes                   |
      | a body without a length |
      | a body of chunks        |
      | a chunk's head          |
