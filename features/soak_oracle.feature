Feature: The soak's oracle reports each violation of a guarantee

  # Guards against a soak that passes because a check never reports anything.
  Scenario Outline: A history that violates a guarantee is reported
    Given a history in which <event>
    Then the oracle reports "<check>" only

    Examples:
      | event                                                 | check    |
      | an instance runs a request that no caller sent        | UNASKED  |
      | a non-idempotent request runs twice                   | TWICE    |
      | a non-idempotent request gets 503 but has run         | REFUSED  |
      | a caller gets the body of another request             | MIXED    |
      | a caller gets 200 without a signature                 | MIXED    |
      | a path of every configuration gets 404                | DENIED   |
      | a response arrives a second after the deadline        | LATE     |
      | a request runs but gets no response                   | LOST     |
      | an instance runs a request after its departure        | DRAIN    |
      | an instance of a withdrawn zone runs a request        | EVAC     |
      | a cold instance gets 13 requests in a second          | FAILBACK |
      | a run starts a second after its caller disconnected   | GONE     |
      | a large response is cut off without an error          | MIXED    |
      | an instance receives a key                            | LEAK     |
      | a request runs for another organisation               | TENANT   |
      | a request with an unknown key runs                    | KEY      |
      | a request with a withdrawn key runs                   | KEY      |
      | a known key gets 401                                  | KEY      |
      | an organisation runs 300 requests in 5 s              | QUOTA    |
      | an organisation with one request gets 429             | CAPPED   |
      | the target version runs a request before the order    | EARLY    |
      | the target version runs a request after its roll-back | BACK     |
      | a bad version runs 61 of 61 requests                  | EXPOSED  |

  # Guards against reports of failures that an unplanned fault permits.
  Scenario Outline: A failure that an unplanned fault permits is not reported
    Given a history in which <event> during a crash
    Then the oracle reports nothing

    Examples:
      | event                                               |
      | a request runs but gets no response                 |
      | a response arrives a second after the deadline      |
      | an instance of a withdrawn zone runs a request      |
      | a run starts a second after its caller disconnected |
      | an organisation with one request gets 429           |

  # Guards against faults that excuse a key that was never valid, a leaked key or
  # more requests than the usage cap permits.
  Scenario Outline: A failure of keys or caps during a crash is reported
    Given a history in which <event> during a crash
    Then the oracle reports "<check>" only

    Examples:
      | event                                    | check   |
      | an instance receives a key               | LEAK    |
      | a request with an unknown key runs       | KEY     |
      | a known key gets 401                     | KEY     |
      | an organisation runs 300 requests in 5 s | QUOTA   |
      | a bad version runs 61 of 61 requests     | EXPOSED |

  # Guards against a roll-out whose final state changes without a report.
  Scenario Outline: A final state that changes is reported
    Given a roll-out with the states "<states>" in the store
    Then the oracle reports "FINAL" only

    Examples:
      | states                        |
      | running rolled_back completed |
      | running completed running     |

  # Guards against reports of a final state that was written twice, because the
  # response of the first write was lost.
  Scenario: A final state that was written twice is not reported
    Given a roll-out with the states "running completed completed" in the store
    Then the oracle reports nothing

  # Guards against reports of refusals in a surge, which the cap asks for.
  Scenario: The refusal of the last request of a surge is not reported
    Given a history in which the last of 100 requests at once gets 429
    Then the oracle reports nothing

  # Guards against silent connections to the store, which the soak causes in most
  # of its time, that excuse any other failure.
  Scenario Outline: A failure while connections to the store are silent is reported
    Given a history in which <event> during a silence of the store
    Then the oracle reports "<check>" only

    Examples:
      | event                                          | check  |
      | the newest path gets 404                       | DENIED |
      | a request runs but gets no response            | LOST   |
      | an instance of a withdrawn zone runs a request | EVAC   |

  # Guards against faults of other hosts that excuse an old configuration.
  Scenario: An old configuration while another host crashes is reported
    Given a history in which the newest path gets 404 during a crash of "h1"
    Then the oracle reports "DENIED" only

  # Guards against reports of runs that start before the node can have noticed
  # that the caller disconnected.
  Scenario: A run shortly after its caller disconnected is not reported
    Given a history in which a run starts 0.4 s after its caller disconnected
    Then the oracle reports nothing

  # Guards against an oracle that reports a violation in every run, so that its
  # reports mean nothing.
  Scenario: A history without violations is not reported
    Given a history in which no guarantee is violated
    Then the oracle reports nothing

  # Guards against links that are opened again and again while no request fails.
  Scenario Outline: Links that end again and again are reported from the logs
    Given the log of a node whose links with a peer end <count> times at once
    Then the oracle of links reports <number> violations

    Examples:
      | count | number |
      | 200   | 1      |
      | 10    | 0      |
