Feature: Requests that two parsers could interpret differently are refused

  # Guards against request smuggling: an upstream could interpret such a request
  # differently, so it must not reach one. "~" stands for CR LF and "^" for a
  # bare LF.
  Scenario Outline: A caller sends <fault>
    When a caller sends the head "<head>"
    Then it is refused with status <status> and reaches no upstream

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
      | an excessive depth        | GET / HTTP/1.1~Host: lanes~Rhubarbpaddle-Depth: 101~~                         | 508    |
      | two idempotency keys      | POST / HTTP/1.1~Host: lanes~Idempotency-Key: a~Idempotency-Key: b~~           | 400    |

  # Guards against chunk sizes that parsers interpret differently.
  Scenario Outline: A caller sends a chunk of size <size>
    When a caller sends a chunk whose size is written "<size>"
    Then no upstream receives a complete body

    Examples:
      | size                   |
      | 0x4                    |
      | +4                     |
      | -4                     |
      | 4^                     |
      | fffffffffffffffffffff4 |

  # Guards against ends of chunked bodies that parsers interpret differently.
  Scenario Outline: A caller ends a chunked body with <end>
    When a caller ends a chunked body with "<end>"
    Then no upstream receives a complete body

    Examples:
      | end        |
      | 0~^        |
      | 0~X: y^~   |
      | 0~X: y~ z~~ |

  # Guards against buffering a head without limit.
  Scenario: A caller sends an endless head
    When a caller sends 70000 bytes of an endless head
    Then it is refused with status 431 and reaches no upstream

  # Guards against input that stops the node or whose response contains a
  # traceback.
  Scenario: Callers send corrupted requests
    Then corrupted requests receive a complete response or a refusal with a code
