Feature: A response whose status is no status is no response

  # Guards against a response with a status like 000 that is passed to a caller
  # as an answer.
  Scenario Outline: Callers get 502 in place of a response with an odd status
    Given two hosts whose instances respond with <status line>
    When callers of both send GET and POST requests
    Then each of them gets 502 without the instance's body

    Examples:
      | status line                                   |
      | HTTP/1.1 000 Odd                              |
      | HTTP/1.1 099 Odd                              |
      | HTTP/1.1 0200 Odd                             |
      | HTTP/1.1 1000 Odd                             |
      | HTTP/1.1 20 Odd                               |
      | HTTP/1.1 +200 Odd                             |
      | HTTP/1.1 2x0 Odd                              |
      | HTTP/1.1 101 Odd                              |
      | an interim HTTP/1.1 000 Odd before a response |
      | an interim HTTP/1.1 099 Odd before a response |
      | an interim HTTP/1.1 101 Odd before a response |

  # Guards against an instance that is attached, or believed to be well, because
  # of such a response to its health check.
  Scenario Outline: A health check with an odd status does not find an instance
    Given a node whose instance responds to health checks with <status line>
    When it has run for 5 seconds without a report
    Then no instance is attached

    Examples:
      | status line                                   |
      | HTTP/1.1 000 Odd                              |
      | HTTP/1.1 0200 Odd                             |
      | HTTP/1.1 2x0 Odd                              |
      | an interim HTTP/1.1 000 Odd before a response |
