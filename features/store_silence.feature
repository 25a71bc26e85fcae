Feature: Connections to the platform's store that go silent

  # Guards against an old configuration later than 2 s after a change: long polls
  # and the time allowed for responses added up to 3.5 s, and all readers wait at
  # the same time, because each record ends all of their polls.
  Scenario: A change comes into force in time if all readers' polls get no answer
    Given 12 nodes in 3 zones that read the platform's store
    When a record ends all polls and then their connections go silent
    And 0 s later operators change the route's prefix
    Then all 12 nodes serve the new prefix within 2 s

  # Guards against polls that end together, so that all readers detect a silent
  # store as late as a single one would.
  Scenario Outline: The polls of all readers end at evenly spaced times
    Given bounds of 2000 ms for a change and 3000 ms for contact
    When <readers> readers poll at times spread over 60 s
    Then the ends of their polls are at most <spacing> s apart
    And each poll is held for at most 1.75 s

    Examples:
      | readers | spacing |
      | 1       | 0.7     |
      | 2       | 0.7     |
      | 3       | 0.6     |
      | 6       | 0.3     |
      | 12      | 0.2     |

  # Guards against the same in the smallest fleet, in which no other reader
  # detects the silence earlier.
  Scenario: A change comes into force in time if the only reader's poll gets no answer
    Given 1 nodes in one zone that read the platform's store
    When a record ends all polls and then their connections go silent
    And 0 s later operators change the route's prefix
    Then all 1 nodes serve the new prefix within 2 s

  # Guards against an old configuration later than 3 s after an outage of the
  # store: a call that began at its end was given up only after 3.5 s, and a
  # backoff of up to 1 s followed.
  Scenario: A change comes into force in time after an outage without responses
    Given 1 nodes in one zone that read the platform's store
    When the store sends no responses until the node has called 4 times
    And 0 s later operators change the route's prefix
    Then all 1 nodes serve the new prefix within 3 s
