Feature: A configuration text is validated as a whole

  # Guards against an error that doesn't show operators what to correct, and
  # against an invalid text that is accepted.
  Scenario Outline: An error is reported with its position and a suggested fix
    Given a configuration text with "<old>" replaced by "<new>"
    When the text is validated
    Then it is invalid with "<error>"

    Examples:
      | old              | new                         | error |
      | "slots": 6       | "slotz": 6                  | line 4, column 16: unknown key "slotz" in service "lanes"; did you mean "slots"? |
      | "slots": 6       | "slots": "6"                | line 4, column 25: "slots" of service "lanes" is a string; write a whole number from 1 to 10000 |
      | "slots": 6       | "slots": true               | is true or false; write a whole number |
      | "slots": 6       | "slots": 0                  | "slots" of service "lanes" is 0; write a whole number from 1 |
      | "slots": 6       | "slots": 6, "slots": 7      | line 4, column 28: duplicate key "slots" |
      | "slots": 6       | "slots": 300                | has 300 slots but only 240 connections |
      | "slots": 6       | "slots": 6,                 | line 4, column 26: a comma before "}"; remove the comma |
      | "slots": 6       | "slots" 6                   | line 4, column 24: '6' after the key "slots"; write a colon |
      | "slots": 6       | "slots": six                | 'six' where a value is needed |
      | "slots": 6       | "slots": 1e999              | a number that is too large |
      | "slots": 6       | "probe_share": 0.9          | write a number from 0 to 0.5 |
      | "slots": 6       | "idempotent_methods": ["GTE"] | is 'GTE'; use one of: |
      | "slots": 6       | "depends_on": ["reservas"]  | dependency cycle: lanes -> reservas -> lanes |
      | ["lanes"]        | ["lane"]                    | "reservas" depends on the unknown service "lane"; did you mean "lanes"? |
      | ["lanes"]        | ["lanes", "lanes"]          | "lanes" is listed twice |
      | "in_service": true | "in_service": false       | no availability zone is in service |
      | "costa-a"        | "Costa_A"                   | 'Costa_A' is not a valid host label |
      | "weight": 2      | "weight": 2.5               | is a number; write a whole number |
      | "tenants"        | "tenant"                    | unknown key "tenant" in the text; did you mean "tenants"? |
      | /* zones */      | /* zones                    | a comment that is never closed |

  # Guards against validation that stops at the first error, so that operators
  # have to correct a text in several rounds.
  Scenario: All errors of a text are reported together
    Given a configuration text with "["lanes"]" replaced by "["lane"], "slot": 1"
    And "costa-a" is replaced by "Costa_A" in it
    When the text is validated
    Then 3 errors are found

  # Guards against operators who permit a second run of requests without
  # noticing it.
  Scenario Outline: A setting that weakens a guarantee causes a warning
    Given a configuration text with ""slots": 6" replaced by "<new>"
    When the text is validated
    Then it is valid with the warning "<warning>"

    Examples:
      | new                            | warning |
      | "key_required": false          | without a key, so a repeated one may run twice |
      | "undated_keys": true           | keys without a date |
      | "idempotent_methods": ["POST"] | POST as idempotent |

  # Guards against another exception, which would stop every node that reads
  # the text from the log.
  Scenario: Validation of any text raises no error but ConfigurationError
    Then validation of random texts raises only ConfigurationError

  # Guards against a node that starts with a default in place of a misspelled
  # setting, and against an error that does not show what to correct.
  Scenario Outline: A node's settings are validated in the same way
    Given a node's settings with "<old>" replaced by "<new>"
    Then the settings are invalid with "<error>"

    Examples:
      | old              | new              | error |
      | "caller_address" | "callr_address"  | unknown key "callr_address" in the settings; did you mean "caller_address"? |
      | "caller_address" | "callr_address"  | missing in the settings: "caller_address"; add |
      | 127.0.0.1:4100   | localhost:4100   | "caller_address" of the settings is 'localhost:4100'; write IP:PORT |
      | 127.0.0.1:4100   | 127.0.0.1:0      | with a port from 1 to 65535 |
      | "info"           | "inof"           | "log_level" of the settings is 'inof'; did you mean "info"? |
      | "secret": "s"    | "secret": 7      | line 3, column 13: "secret" of the settings is a whole number; write a string |
