Feature: Claims hold under any order of faults

  Scenario: Several owners on one log run each key at most once
    When the claims machine runs 150 examples with the ledger
    Then no key ran twice and not-run was never said of a key that ran
    And the machine saw answers "200, in_progress, outcome_unknown, no_instance, log_unavailable, claim_unknown, key_expired"

  Scenario: The machine catches a ledger whose last claim wins
    When the claims machine runs 150 examples with a ledger whose last claim wins
    Then a fault is found

  Scenario: The machine catches a ledger that releases what ran
    When the claims machine runs 150 examples with a ledger that ignores who releases
    Then a fault is found

  Scenario: The machine catches a ledger that forgets claims early
    When the claims machine runs 150 examples with a ledger that forgets at once
    Then a fault is found
