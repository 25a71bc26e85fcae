Feature: Bodies are streamed completely, or their truncation is detected

  # Guards against bodies that are altered, truncated or buffered whole in
  # memory on the way. "one write" sends the body at once with Content-Length,
  # "chunks" sends it with the chunked transfer coding.
  Scenario Outline: A caller of node <node> uploads in <framing>
    When a caller uploads 3000000 bytes in "<framing>" to node "<node>"
    Then the upstream receives the same bytes and so does the caller

    Examples:
      | node | framing   |
      | a1   | chunks    |
      | a1   | one write |
      | b1   | chunks    |
      | b1   | one write |

  # Guards against buffering a download without limit while its caller does not
  # read.
  Scenario Outline: A caller of node <node> stops reading a download
    When a caller stops reading a download of 8000000 bytes from node "<node>"
    Then the upstream sends less than 1500000 bytes until the caller reads on

    Examples:
      | node |
      | a1   |
      | b1   |

  # Guards against a truncated response that looks complete.
  Scenario Outline: An upstream ends its response early behind node <node>
    When the upstream truncates its response to a caller of node "<node>"
    Then the caller detects that the response is truncated

    Examples:
      | node |
      | a1   |
      | b1   |

  # Guards against uploads that hang when the upstream responds without reading
  # the body.
  Scenario Outline: An upstream refuses an upload through node <node>
    When the upstream responds with 413 before it reads an upload to node "<node>"
    Then the caller receives 413 and its connection is closed

    Examples:
      | node |
      | a1   |
      | b1   |

  # Guards against a deadline that includes the time of an upload and so fails
  # callers on slow links.
  Scenario: An upload takes longer than the deadline
    When a caller uploads for 20 seconds with a deadline of 2 seconds
    Then the upload succeeds, but a slow response to an upload times out
