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
