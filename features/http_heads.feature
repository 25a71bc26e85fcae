Feature: Requests that two parsers could read differently are refused

  # Guards against request smuggling: such a request must not reach an upstream.
  Scenario Outline: A caller sends <fault>
    When a caller sends the head "<head>"
    Then it is refused with status <status> and no upstream sees it

    Examples:
      | fault                     | head                                                                          | status |
      | both length headers       | POST / HTTP/1.1~Host: lanes~Content-Length: 4~Transfer-Encoding: chunked~~0~~ | 400    |
      | differing lengths         | POST / HTTP/1.1~Host: lanes~Content-Length: 4~Content-Length: 5~~abcd         | 400    |
      | a signed length           | POST / HTTP/1.1~Host: lanes~Content-Length: +4~~abcd                          | 400    |
      | a bare line feed          | GET / HTTP/1.1^Host: lanes~~                                                  | 400    |
      | only bare line feeds      | GET / HTTP/1.1^Host: lanes^^                                                  | 400    |
      | a folded line             | GET / HTTP/1.1~Host: lanes~X: a~ b~~                                          | 400    |
      | whitespace before a colon | GET / HTTP/1.1~Host : lanes~~                                                 | 400    |
      | two hosts                 | GET / HTTP/1.1~Host: lanes~Host: other~~                                      | 400    |
      | an unknown coding         | POST / HTTP/1.1~Host: lanes~Transfer-Encoding: gzip, chunked~~0~~             | 501    |
      | chunks in HTTP/1.0        | POST / HTTP/1.0~Host: lanes~Transfer-Encoding: chunked~~0~~                   | 400    |
      | another version           | GET / HTTP/3.0~Host: lanes~~                                                  | 505    |
      | the method CONNECT        | CONNECT lanes:80 HTTP/1.1~Host: lanes~~                                       | 501    |
      | an invalid depth          | GET / HTTP/1.1~Host: lanes~Rhubarbpaddle-Depth: x~~                           | 400    |
      | a loop's depth            | GET / HTTP/1.1~Host: lanes~Rhubarbpaddle-Depth: 101~~                         | 508    |
      | two idempotency keys      | POST / HTTP/1.1~Host: lanes~Idempotency-Key: a~Idempotency-Key: b~~           | 400    |

  Scenario Outline: A caller sends a chunk of size <size>
    When a caller sends a chunk whose size is written "<size>"
    Then no upstream gets a whole body

    Examples:
      | size                   |
      | 0x4                    |
      | +4                     |
      | -4                     |
      | 4^                     |
      | fffffffffffffffffffff4 |

  Scenario Outline: A caller ends its chunks with <end>
    When a caller ends its chunks with "<end>"
    Then no upstream gets a whole body

    Examples:
      | end        |
      | 0~^        |
      | 0~X: y^~   |
      | 0~X: y~ z~~ |

  # Guards against memory that a caller fills with a head without an end.
  Scenario: A caller sends a head without an end
    When a caller sends a head of 70000 bytes without an end
    Then it is refused with status 431 and no upstream sees it

  # Guards against any input that ends the node or is answered with a trace.
  Scenario: Callers send damaged requests
    Then damaged requests are refused or reach the upstream whole
