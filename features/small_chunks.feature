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
