Feature: Probes of an upstream stay within their budget

  # Guards against probes that take more of an upstream's time than permitted,
  # and against an idle upstream whose health or load is rarely checked.
  Scenario: An idle upstream is probed within the budget
    Given an idle upstream whose probes may take 1 % of its time at 6 ms each
    When 60 s pass
    Then it was probed at least 80 and at most 100 times, "/health" and "/load" equally often

  # Guards against probes that take slots from requests, although the responses
  # to requests already show the state of a busy upstream.
  Scenario: A busy upstream is not probed
    Given a busy upstream whose probes may take 1 % of its time at 6 ms each
    When 60 s pass
    Then it was probed at most 1 time

  # Guards against probes that exceed the budget because each takes longer than
  # configured.
  Scenario: Probes that take longer than configured are sent less often
    Given a probe budget of 1 % at 6 ms each
    When each probe takes 60 ms for 600 s
    Then probes took at most 1.1 % of the time

  # Guards against a burst of probes after a restart or an idle period.
  Scenario: A budget starts empty and never permits a burst
    Given a probe budget of 1 % at 6 ms each
    Then no probe is permitted at once, and 1 after an hour without any

  # Guards against requests to an upstream that has stopped, and against full
  # load on it when it returns and may be cold.
  Scenario: An upstream whose announcements stop is down, and cold when it returns
    Given a busy upstream whose probes may take 1 % of its time at 6 ms each
    When its announcements stop after 20 s and resume 5 s later
    Then its state is "down" within 2 s
    And after its return its limit starts from 1
