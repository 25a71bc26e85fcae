Feature: An acknowledged departure of an instance stays in effect

  # Guards against a departure that is acknowledged and ignored, because a
  # report of another writer, with a later start, made all true ones outdated.
  Scenario Outline: A departure is followed after a report of another writer
    Given a host whose instance serves requests
    When a report of <writer> with a later start arrives
    And the instance reports that it is draining
    Then the first report got 400 and the second 200
    And no further request reaches the instance

    Examples:
      | writer                                      |
      | another instance of an unnamed service      |
      | another instance of another named service   |
      | the same instance with an unnamed service   |
