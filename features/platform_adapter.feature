Feature: Parsing the platform's documents and messages

  # Guards against a node that does not start because a later release of the
  # platform adds a field to the settings.
  Scenario: Unknown fields in the settings are ignored
    When the settings of host "h1" have an unknown field
    Then the node's id is "h1" and its store is "store:1"

  # Guards against an error that does not say which field is missing.
  Scenario Outline: The error for a missing setting names the field
    When the settings lack "<field>"
    Then loading them fails and names "<field>"

    Examples:
      | field            |
      | appAddr          |
      | outbound         |
      | retryBudgetRatio |

  # Guards against a partly parsed configuration that replaces a complete one.
  Scenario Outline: An invalid configuration is rejected as a whole
    When a configuration has <fault>
    Then it is rejected with code "invalid_configuration"
    And the error is one readable line

    Examples:
      | fault                  |
      | no version             |
      | an unknown route kind  |
      | a route without a host |
      | no limits              |
      | a split without weight |
      | invalid JSON           |

  # Guards against nodes that ignore version "r10" because a comparison as text
  # makes it older than "r9".
  Scenario: Versions are compared as numbers
    When versions "r9" and "r10" are parsed
    Then the second is higher

  # Guards against a request that is sent to the service of another route,
  # because the shorter of two prefixes or a part of a path segment matched.
  Scenario Outline: The route with the longest matching prefix is chosen
    Given routes with prefixes "/a/", "/a/b/" and "/" of host "club.example"
    When a request for host "<host>" and target "<target>" is routed
    Then its route is "<route>"

    Examples:
      | host              | target     | route |
      | club.example      | /a/x       | /a/   |
      | club.example      | /a/b/c/d   | /a/b/ |
      | Club.Example:8080 | /a/bc      | /a/   |
      | club.example      | /a         | /     |
      | club.example      | /a/b/?q=/x | /a/b/ |
      | other.example     | /a/x       | -     |

  # Guards against a state that is taken from an invalid report, from a report
  # of an earlier process, or from one that arrives after a newer one.
  Scenario Outline: An invalid or outdated report changes nothing
    Given an instance that has reported with start 1000 and sequence 5
    When a report with <fault> arrives
    Then the report gets <status> and the instance is still ready

    Examples:
      | fault                     | status |
      | an earlier start          | 200    |
      | an earlier sequence       | 200    |
      | no start                  | 400    |
      | a string for slots        | 400    |
      | an unknown state          | 400    |
      | a body that is not JSON   | 400    |
      | an earlier start draining | 200    |

  # Guards against an instance that is used after its departure because a
  # delayed report arrives.
  Scenario: A delayed report does not reactivate an instance that has departed
    Given an instance that has reported with start 1000 and sequence 5
    When it departs and a delayed report with sequence 6 arrives
    Then the instance is leaving

  # Guards against an instance that is not used after a restart because it has
  # the id of the one that departed.
  Scenario: An instance that restarts under the same id is used again
    Given an instance that has reported with start 1000 and sequence 5
    When it departs and reports with start 2000 and sequence 1
    Then the instance is ready again

  # Guards against requests to a slow instance whose reported slowdown is
  # ignored, and against avoiding an instance that reports none.
  Scenario Outline: The slowdown factor is parsed from the reported load
    When a response reports the load "<load>"
    Then the slowdown factor is <factor>

    Examples:
      | load        | factor |
      | 3,0,6,500   | 5      |
      | 3, 1, 6,100 | 1      |
      | 3,0,6       | 1      |

  # Guards against a response that is lost because of an exception while the
  # node parses a malformed header of the instance.
  Scenario: A malformed load is ignored
    When a response reports the load "x,y"
    Then there is no reading

  # Guards against a status that promises that a request has not run although
  # it may have run.
  Scenario Outline: The status of a refusal depends on the outcome
    When a refusal with status <status> and outcome "<outcome>" is sent
    Then the caller gets status <sent>

    Examples:
      | status | outcome | sent |
      | 503    | not-run | 503  |
      | 503    | unknown | 502  |
      | 429    | unknown | 502  |
      | 504    | unknown | 504  |
      | 502    | unknown | 502  |

  # Guards against a truncated record that is taken for a complete one.
  Scenario: Truncated records are rejected
    When a read returns records truncated after 3 bytes
    Then parsing them fails with code "protocol"

  # Guards against an append that is reported as failed although the store has
  # the record, because only its response was lost.
  Scenario: An append whose response is lost may have taken effect
    When the store loses the response to an append
    Then the client reports an unknown outcome and the record is stored
