Feature: The soak's oracle sees each broken promise

  # Guards against a soak that passes because a check does nothing.
  Scenario Outline: A history that breaks a promise is reported
    Given a history in which <what>
    Then the oracle reports "<rule>" only

    Examples:
      | what                                                | rule     |
      | an instance runs what nobody has sent               | UNASKED  |
      | a booking runs twice                                | TWICE    |
      | a booking is refused with 503 and has run           | REFUSED  |
      | a caller gets the body of another request           | MIXED    |
      | a caller gets 200 without a signature               | MIXED    |
      | a lasting path gets 404                             | DENIED   |
      | an answer comes a second after the deadline         | LATE     |
      | a request that runs is cut                          | LOST     |
      | an instance runs a request after its departure      | DRAIN    |
      | an instance of a withdrawn zone runs a request      | EVAC     |
      | a cold instance gets 13 requests in a second        | FAILBACK |
      | a request starts a second after its caller has left | GONE     |

  # Guards against reports of what faults excuse.
  Scenario Outline: What a fault excuses is not reported
    Given a history in which <what> during a crash
    Then the oracle reports nothing

    Examples:
      | what                                                |
      | a request that runs is cut                          |
      | an answer comes a second after the deadline         |
      | an instance of a withdrawn zone runs a request      |
      | a request starts a second after its caller has left |

  # Guards against reports of closes that the node can't have seen yet.
  Scenario: Work shortly after its caller has left is not reported
    Given a history in which a request starts 0.4 s after its caller has left
    Then the oracle reports nothing

  Scenario: A history that keeps all promises is not reported
    Given a history in which all is well
    Then the oracle reports nothing
