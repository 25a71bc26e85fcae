Feature: Measuring an upstream stays within its budget

  Scenario: An idle upstream is probed within the budget
    Given an idle upstream whose probes may take 1 % of its time at 6 ms each
    When 60 s pass
    Then it was probed at least 80 and at most 100 times, "/health" and "/load" alike

  Scenario: A busy upstream is not probed
    Given a busy upstream whose probes may take 1 % of its time at 6 ms each
    When 60 s pass
    Then it was probed at most 1 time

  Scenario: Probes that cost more than stated are sent more rarely
    Given a probe budget of 1 % at 6 ms each
    When each probe takes 60 ms for 600 s
    Then probes took at most 1.1 % of the time

  Scenario: A budget starts empty and never allows a burst
    Given a probe budget of 1 % at 6 ms each
    Then no probe is allowed at once, and 1 after an hour without any

  Scenario: An upstream that vanishes takes no work until it is back, then cold
    Given a busy upstream whose probes may take 1 % of its time at 6 ms each
    When its announcements stop after 20 s and come back 5 s later
    Then its state is "down" within 2 s
    And after its return its limit starts from 1
