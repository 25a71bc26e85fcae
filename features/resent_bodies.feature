Feature: A request that is sent again carries its whole body

  # Guards against an instance that runs a request with an empty or shortened
  # body, because the first attempt had read it, and against a caller that gets
  # 502 or 503 although another instance could have served it.
  Scenario Outline: A short body is sent again whole
    Given two instances of which the first one <disturbs>
    When callers of both hosts send 5 requests each with <body>
    Then the second instance ran each request that the first one got
    And each run had the whole body and each caller got 200

    Examples:
      | body                       | disturbs                                     |
      | 26 bytes in chunks         | truncates its responses by their last byte   |
      | 26 bytes in chunks         | closes the connection without a response     |
      | 26 bytes in chunks         | sends 40 bytes of each response              |
      | 26 bytes in chunks         | sends bytes that are no response             |
      | 26 bytes in chunks         | refuses all requests as not run              |
      | 52000 bytes with a length  | truncates its responses by their last byte   |
      | 52000 bytes with a length  | refuses all requests as not run              |
      | 60000 bytes in chunks      | closes the connection without a response     |

  # Guards against an instance that runs a request with a part of its body, when
  # the body is too long to be kept.
  Scenario Outline: A long body is not sent again
    Given two instances of which the first one <disturbs>
    When callers of both hosts send 5 requests each with <body>
    Then no request ran at both instances and each run had the whole body

    Examples:
      | body                       | disturbs                                     |
      | 70000 bytes in chunks      | truncates its responses by their last byte   |
      | 200000 bytes with a length | closes the connection without a response     |

  # Guards against memory that grows with the number of uploads in progress.
  Scenario: Bodies beyond the memory for all of them are not kept
    Given memory for 100000 bytes of kept bodies
    When bodies of 60000, 60000 and 30000 bytes are read at the same time
    Then the first and the third can be read again, and the second can't
    And a further body of 100000 bytes can't be kept, but one of 60000 bytes can after the others ended
