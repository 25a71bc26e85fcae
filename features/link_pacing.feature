Feature: Room on slow network links

  # Guards against short messages that wait 50 to 250 ms behind the body of an
  # upload on a link of 10 Mbit/s (grown redes-pacifico, calls to coaching).
  Scenario Outline: A body leaves room for others while there is time
    Given a network link of <link> kB a second
    When a body of <length> kB is sent with <seconds> s to its target
    Then it takes between <least> s and <most> s

    Examples:
      | link   | length | seconds | least | most |
      | 1250   | 60     | 1       | 0.15  | 0.2  |
      | 1250   | 360    | 1       | 0.24  | 0.3  |
      | 1250   | 60     | 0       | 0     | 0.06 |
      | 125000 | 60     | 1       | 0     | 0.01 |
