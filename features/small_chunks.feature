Feature: Bodies in small chunks use a bounded share of a node

  # Guards against a connection that keeps the event loop busy, because each
  # byte arrives in a chunk of its own: other requests of the node failed.
  Scenario Outline: Small chunks are merged before they are parsed
    Given a platform that serves requests
    When a caller uploads <count> bytes in chunks of <sizes> bytes<extension>
    Then the instance gets the whole body in at most <parts> parts

    Examples:
      | count | sizes   | extension       | parts |
      | 20000 | 1       |                 | 30    |
      | 20000 | 1 and 2 |                 | 30    |
      | 20000 | 1       | with extensions | 30    |
      | 50000 | 17      |                 | 30    |

  # Guards against reading on without a wait as long as bytes arrive, so that no
  # other task runs.
  Scenario Outline: Other tasks run while a body in small chunks is read
    When a response of <count> chunks of <size> bytes is read from memory
    Then reading took at least <seconds> s and other tasks ran at least <passes> times

    Examples:
      | count  | size | seconds | passes |
      | 200000 | 1    | 1.9     | 100    |
      | 20000  | 30   | 0.19    | 60     |

  # Guards against a body that is changed, cut or accepted by the merging of its
  # chunks, wherever its bytes are cut on their way.
  Scenario: Merged chunks parse like those that were received
    When 300 generated bodies are parsed as received and merged
    Then both have the same content, end and error

  # Guards against content that is lost, doubled or mistaken for the head of a
  # chunk when runs of chunks of different lengths are merged at once.
  Scenario: Any mixture of chunk lengths merges to the original content
    When 300 generated mixtures of chunk lengths are merged
    Then each merged stream has the original content and ends with it

  # Guards against a round of the Python interpreter for each small chunk: 64 KiB
  # in one-byte and two-byte chunks took 27 times as long as in one-byte chunks,
  # and 2 s with an extension that changed with every second chunk.
  Scenario Outline: The work for small chunks does not grow with their number
    When <count> bytes in chunks of <sizes> bytes<extension> are merged in parts of 8 KiB
    Then the merger looked for chunks at most <rounds> times

    Examples:
      | count | sizes        | extension                | rounds |
      | 65536 | 1            |                          | 150    |
      | 65536 | 1 and 2      |                          | 150    |
      | 65536 | 1, 2 and 3   |                          | 150    |
      | 65536 | 1 to 16      |                          | 150    |
      | 65536 | 1 to 64      |                          | 150    |
      | 65536 | 9 and 17     |                          | 150    |
      | 65536 | 1            | with an extension        | 200    |
      | 65536 | 1            | with changing extensions | 250    |
