Feature: Decoding what the platform writes

  # Guards against settings that are read by position or that break on fields
  # that come later.
  Scenario: Settings with unknown fields are read
    When the settings of host "h1" gain a field that nobody knows
    Then the node's id is "h1" and its store is "store:1"

  Scenario Outline: Settings with a missing field name it
    When the settings lack "<field>"
    Then loading them fails and names "<field>"

    Examples:
      | field            |
      | appAddr          |
      | outbound         |
      | retryBudgetRatio |

  # Guards against half of a configuration that takes the place of a whole one.
  Scenario Outline: A malformed configuration is refused as a whole
    When a configuration has <fault>
    Then it is refused with code "invalid_configuration"

    Examples:
      | fault                  |
      | no version             |
      | an unknown route kind  |
      | a route without a host |
      | no limits              |
      | a split without weight |
      | text that is no JSON   |

  Scenario: Versions compare as numbers
    When versions "r9" and "r10" are read
    Then the second is higher

  # Guards against the shorter of two prefixes and against prefixes that end
  # within a path's segment.
  Scenario Outline: The longest prefix that begins the path wins
    Given routes for "/a/", "/a/b/" and "/" of host "club.example"
    When a request for host "<host>" and target "<target>" comes
    Then its route is "<route>"

    Examples:
      | host              | target     | route |
      | club.example      | /a/x       | /a/   |
      | club.example      | /a/b/c/d   | /a/b/ |
      | Club.Example:8080 | /a/bc      | /a/   |
      | club.example      | /a         | /     |
      | club.example      | /a/b/?q=/x | /a/b/ |
      | other.example     | /a/x       | -     |

  # Guards against reports of others, of earlier starts and of late arrival.
  Scenario Outline: A report that can't be trusted changes nothing
    Given an instance that has reported with start 1000 and sequence 5
    When a report with <fault> comes
    Then the report gets <status> and the instance is still ready

    Examples:
      | fault                     | status |
      | an earlier start          | 200    |
      | an earlier sequence       | 200    |
      | no start                  | 400    |
      | a text for slots          | 400    |
      | an unknown state          | 400    |
      | bytes that are no JSON    | 400    |
      | an earlier start draining | 200    |

  # Guards against an instance that is used again after its departure by a
  # report that was held up.
  Scenario: A late report does not bring back an instance that has left
    Given an instance that has reported with start 1000 and sequence 5
    When it departs and a report with sequence 6 that was sent before arrives
    Then the instance is leaving

  # Guards against an instance that starts again under its old id and is taken
  # for the one that left.
  Scenario: A new start under the same id is a new instance
    Given an instance that has reported with start 1000 and sequence 5
    When it departs and reports with start 2000 and sequence 1
    Then the instance is ready again

  Scenario Outline: What an instance says of its load
    When an answer bears the load "<load>"
    Then the pace is <pace>

    Examples:
      | load        | pace |
      | 3,0,6,500   | 5    |
      | 3, 1, 6,100 | 1    |
      | 3,0,6       | 1    |

  # Guards against a crash of the reader by other writers' bytes.
  Scenario: A load that can't be read is no load
    When an answer bears the load "x,y"
    Then there is no reading

  # Guards against a promise of not-run for what may have run.
  Scenario Outline: Statuses of refusals
    When a refusal with status <status> and outcome "<outcome>" is told
    Then the caller gets status <told>

    Examples:
      | status | outcome | told |
      | 503    | not-run | 503  |
      | 503    | unknown | 502  |
      | 429    | unknown | 502  |
      | 504    | unknown | 504  |
      | 502    | unknown | 502  |

  # Guards against a cut record that is taken for a whole one.
  Scenario: Records that are cut short are refused
    When a read returns records cut after 3 bytes
    Then reading them fails with code "protocol"

  # Guards against a store that answers nothing or refuses: nothing is lost.
  Scenario: An append whose answer is lost may have taken effect
    When the store loses the answer to an append
    Then the client says that the outcome is unknown and the record is there
