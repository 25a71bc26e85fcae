Feature: A log that stops responding and resumes

  # Guards against a publication that comes into force later than 8 s: a read
  # that began at the end of an outage was given up only after 7 s, and a backoff
  # of up to 4 s followed.
  Scenario Outline: A publication after an outage of the log is in force in time
    Given a node that reads the log
    When the log doesn't respond for <duration> s and then has a publication
    Then the publication is in force within 8 s

    Examples:
      | duration |
      | 0.5      |
      | 20.0     |
      | 22.0     |
      | 24.0     |
      | 26.0     |
      | 28.0     |
      | 30.0     |
