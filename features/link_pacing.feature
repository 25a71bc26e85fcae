Feature: Pacing of bodies on slow network links

  # Guards against short messages that wait 50 to 250 ms behind the body of an
  # upload on a link of 10 Mbit/s, as calls to the service coaching did at the
  # site redes-pacifico-grown.
  Scenario Outline: A body is paced as far as its latency target allows
    Given a network link of <link> kB/s
    When a body of <length> kB is sent with <seconds> s until its latency target
    Then the transfer takes between <least> s and <most> s

    Examples:
      | link   | length | seconds | least | most |
      | 1250   | 60     | 1       | 0.15  | 0.2  |
      | 1250   | 360    | 1       | 0.24  | 0.3  |
      | 1250   | 60     | 0       | 0     | 0.06 |
      | 125000 | 60     | 1       | 0     | 0.01 |

  # Guards against bodies that together exceed the link, behind which short
  # messages queue for as long as all of them take (0.1 to 2 s).
  Scenario Outline: Short messages share the link with several bodies
    Given a network link of <link> kB/s
    When <count> bodies of <length> kB share it with short messages, with 4 s until their latency target
    Then no short message waits longer than <wait> ms
    And the bodies arrive in time

    Examples:
      | link  | count | length | wait |
      | 750   | 1     | 540    | 9    |
      | 750   | 5     | 90     | 9    |
      | 1500  | 10    | 90     | 6    |
      | 12500 | 20    | 540    | 6    |

  # Guards against a body that misses its latency target because others, which
  # are in no hurry, have equal parts of the link.
  Scenario: A body in a hurry takes what the others do not need
    Given a network link of 1500 kB/s
    When a body of 300 kB with 0.5 s until its latency target joins 6 of 400 kB with 10 s
    Then it arrives in time

  # Guards against late bodies that take the link from those that can still be in
  # time.
  Scenario: Late bodies do not make others late
    Given a network link of 1500 kB/s
    When a body of 300 kB with 0.5 s until its latency target joins 6 of 400 kB with 0 s
    Then the one that joined arrives in time

  # Guards against bodies that stop for as long as others need the whole link.
  Scenario: A body in no hurry keeps a part of the link
    Given a network link of 1500 kB/s
    When a body of 20 kB without a latency target joins 6 of 900 kB with 3 s
    Then it has been sent within 1.5 s

  # Guards against a body of unknown length that is paced as if it had no
  # latency target.
  Scenario: A body of unknown length is paced by what it may still have
    Given a network link of 1500 kB/s
    When a body of unknown length turns out to have 540 kB, with 1 s until its latency target
    Then it arrives in time

  # Guards against callers that read slowly and thereby keep a part of the link
  # from other bodies.
  Scenario: Transfers that wait for their receivers leave their part to others
    Given a network link of 1500 kB/s
    When 20 transfers have stalled and a body of 450 kB is sent without a latency target
    Then the body is sent at 30 % of the link's rate
