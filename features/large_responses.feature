Feature: Large responses on slow links

  # Guards against a large response that occupies the link between two hosts
  # for as long as it takes, and against one that pacing makes late.
  Scenario Outline: A response from another host is paced and in time
    Given hosts with links of <mbps> Mbit/s, and instances that respond with <length> bytes
    When a caller of a host without an instance requests one, with a latency target of <target> ms
    Then the response is complete after <least> to <most> ms

    Examples:
      | mbps | length | target | least | most |
      | 12   | 90000  | 400    | 170   | 270  |
      | 12   | 540000 | 900    | 380   | 540  |
      | 100  | 540000 | 900    | 110   | 200  |
      | 6    | 20000  | 400    | 60    | 130  |

  # Guards against an error for a request that another instance could have
  # answered, since no byte of the first response had been sent to the caller.
  Scenario Outline: An instance fails after the head of its response
    Given hosts with links of 100 Mbit/s, and instances that respond with <length> bytes <framing>
    And the instance of "h1" fails after <bytes> bytes of each body
    When callers of "h1" and of a host without an instance send 3 requests each
    Then all responses are complete
    And the instance of "h1" has run 1 request or more

    Examples:
      | length | framing   | bytes |
      | 90000  | unchunked | 0     |
      | 250000 | unchunked | 1     |
      | 250000 | unchunked | 240000 |
      | 540000 | unchunked | 0     |
      | 540000 | unchunked | 20000 |
      | 540000 | in chunks | 20000 |

  # Guards against an error for a request whose response was lost on the way,
  # although nothing of it had been sent to the caller.
  Scenario: The node beside the instance is lost at the start of a response
    Given hosts with links of 6 Mbit/s, and instances that respond with 540000 bytes
    When the node that sends a response is lost after 50 ms
    Then all responses are complete
    And 2 instances have run the request

  # Guards against the start of one response that is followed by another one,
  # and against a truncated response that looks complete.
  Scenario Outline: An instance fails when bytes have been sent to the caller
    Given hosts with links of 100 Mbit/s, and instances that respond with 540000 bytes <framing>
    And the instance of "h1" fails after 400000 bytes of each body
    When callers of "h1" and of a host without an instance send 3 requests each
    Then each response is complete, or ends without appearing complete
    And no request has run twice
    And 1 response or more is incomplete

    Examples:
      | framing   |
      | unchunked |
      | in chunks |

  # Guards against a request that crashes one instance after another, and is not
  # counted as the cause because a head was sent before each crash.
  Scenario Outline: A request crashes instances in the middle of its response
    Given hosts with links of 100 Mbit/s, and instances that respond with <length> bytes <framing>
    And the instance of "h1" fails after <bytes> bytes of each body
    And the instance of "h2" fails after <bytes> bytes of each body
    When a request is sent 6 times, after each of which the instances restart
    Then it has run at most 4 times

    Examples:
      | length | framing   | bytes  |
      | 2000   | unchunked | 1000   |
      | 2000   | in chunks | 1000   |
      | 60000  | unchunked | 50000  |
      | 540000 | in chunks | 400000 |

  # Guards against an instance that breaks off most of its responses and counts
  # as one that works.
  Scenario: An instance that breaks off its responses
    Given hosts with links of 100 Mbit/s, and instances that respond with 2000 bytes
    And the instance of "h1" fails after 1000 bytes of each body
    When 40 different requests are sent, 50 ms apart
    Then the node beside the instance of "h1" regards it as failing

  # Guards against a new connection between hosts for each large response, whose
  # handshake takes three round trips.
  Scenario Outline: Large responses of one host share a connection
    Given hosts with links of 100 Mbit/s, and instances that respond with <length> bytes <framing>
    When 8 different requests are sent, 300 ms apart
    Then the gateway has opened at most 1 connection to each host for them

    Examples:
      | length | framing   |
      | 20000  | unchunked |
      | 90000  | unchunked |
      | 540000 | unchunked |
      | 90000  | in chunks |

  # Guards against nodes that collect a response for a caller that reads slowly,
  # and against other callers that wait for it.
  Scenario: A caller does not read its response
    Given hosts with links of 12 Mbit/s, and instances that respond with 8000000 bytes
    When a caller does not read its response while 5 others request 90000 bytes
    Then the instance has sent at most 900000 bytes of the unread response
    And the others have complete responses within 400 ms

  # Guards against slots that are occupied for as long as a caller keeps its
  # connection open without reading.
  Scenario Outline: A caller never reads its response
    Given hosts with links of 100 Mbit/s, and instances that respond with 8000000 bytes <framing>
    When a caller of "<gateway>" keeps its connection open without reading
    Then the connection to the instance ends within 5500 ms

    Examples:
      | gateway | framing   |
      | g       | unchunked |
      | h1      | in chunks |

  # Guards against an instance that counts as lost because a caller read so slowly
  # that the response did not end in time.
  Scenario: A caller reads too slowly
    Given hosts with links of 100 Mbit/s, and instances that respond with 8000000 bytes
    When a caller of "h1" begins to read its response 4 s after its request
    Then the response is incomplete, and no request is suspected of a crash

  # Guards against instances that keep working for callers that have left.
  Scenario: A caller leaves in the middle of a response
    Given hosts with links of 12 Mbit/s, and instances that respond with 8000000 bytes
    When a caller leaves while its response is paced
    Then the connection to the instance ends within 500 ms

  # Guards against slots that stay occupied while finished responses are paced,
  # which takes up to half of the latency target.
  Scenario: A paced response does not occupy the instance
    Given hosts with links of 6 Mbit/s, and instances that respond with 200000 bytes
    And instances with 1 slot
    When 2 callers of a host without an instance request them at the same time
    Then the second one has started within 150 ms of the first

  # Guards against responses that exhaust the memory of a node.
  Scenario Outline: Bodies that are read ahead share a limited memory
    Given a memory of 100000 bytes for bodies that are read ahead
    When <count> bodies of <length> bytes are read ahead up to 64000 bytes
    Then at most <held> bytes are held, and all memory is unused at the end

    Examples:
      | count | length | held   |
      | 1     | 540000 | 80000  |
      | 10    | 540000 | 280000 |
      | 10    | 1000   | 10000  |

  # Guards against a planned stop that cuts off a paced response.
  Scenario Outline: A node shuts down while it sends a paced response
    Given hosts with links of 6 Mbit/s, and instances that respond with 540000 bytes
    When the <node> shuts down in the middle of a response
    Then the response is complete and the shutdown reports no interrupted work

    Examples:
      | node                     |
      | node beside the instance |
      | gateway                  |
