Feature: An answer that ends before its upload is written is not complete

  # Guards against a part of an answer that the caller gets as a whole one: the
  # write of the upload takes the error of the reset, and the read that follows
  # sees the end of the stream.
  Scenario Outline: An instance answers a long upload early and resets
    Given two hosts, of which one has an instance, over a real connection
    When callers of both send uploads of 8 MB that are answered with <form>
    Then each upload was answered, and no caller got a complete success

    Examples:
      | form                            |
      | no length                       |
      | no length and Connection: close |
      | HTTP/1.0                        |
      | a length that is not reached    |
      | chunks without an end           |

  # Guards against the same on the product's own nodes, where the caller's node
  # is that of the upstream or another one.
  Scenario: An upstream of the product answers a long upload early and resets
    Given two product nodes with real connections to an upstream
    When callers of both send it uploads of 8 MB that it answers early
    Then each upload was answered, and no caller got a complete success

  # Guards against the cause on any other connection.
  Scenario: A stream that failed to send has no valid end
    Given a TCP connection whose remote side sends 10 bytes and resets it
    When this side first sends until that fails and then receives
    Then it gets the 10 bytes and then an error in place of the end

  # Guards against a read in another task, which sees the end of the stream
  # between the error of the write and its report.
  Scenario: A stream whose failure to send is not handled yet has no valid end
    Given a TCP connection whose remote side sends 10 bytes and resets it
    When one task sends 8 MB and another one receives until the reset
    Then it gets the 10 bytes and then an error in place of the end
