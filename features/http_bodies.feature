Feature: Bodies are streamed whole or are seen to be cut short

  # Guards against bodies that are changed, cut or held in memory on the way.
  Scenario Outline: A caller of node <node> uploads in <framing>
    When a caller uploads 3000000 bytes in "<framing>" to node "<node>"
    Then the upstream got the same bytes and the caller got them back

    Examples:
      | node | framing |
      | a1   | chunks  |
      | a1   | one     |
      | b1   | chunks  |
      | b1   | one     |

  Scenario Outline: A caller of node <node> stops reading a download
    When a caller stops reading a download of 8000000 bytes from node "<node>"
    Then the upstream is held back below 1500000 bytes until it reads on

    Examples:
      | node |
      | a1   |
      | b1   |

  # Guards against a short answer that looks complete.
  Scenario Outline: An upstream ends its answer early behind node <node>
    When the upstream cuts its answer to a caller of node "<node>"
    Then the caller sees that the answer is cut

    Examples:
      | node |
      | a1   |
      | b1   |

  # Guards against uploads that hang when the upstream does not want them.
  Scenario Outline: An upstream refuses an upload through node <node>
    When the upstream answers 413 before it has read an upload to node "<node>"
    Then the caller gets 413 and its connection ends

    Examples:
      | node |
      | a1   |
      | b1   |

  # Guards against a deadline that punishes slow links of callers.
  Scenario: An upload takes longer than the deadline
    When a caller uploads for 20 seconds with a deadline of 2 seconds
    Then the upload succeeds, and a slow answer after it does not
