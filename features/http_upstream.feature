Feature: The connections to an upstream carry one exchange after another

  # Guards against answers that reach another request.
  Scenario: An upstream sends more than its answer
    When an upstream sends unasked bytes after an answer, then gets a request
    Then the next request gets its own answer on another connection

  # Guards against a limit of connections that is exceeded under load.
  Scenario: More requests than connections
    When 40 requests run at once with 64 slots and 5 connections
    Then all are answered and the upstream never has more than 5 connections

  # Guards against a refusal that is reported as unknown, and against a retry
  # of what may have run.
  Scenario Outline: An upstream refuses a request as not run to node <node>
    When the upstream refuses a request of node "<node>" as not run
    Then the caller gets 503 with outcome "not-run"

    Examples:
      | node |
      | a1   |
      | b1   |

  # Guards against connections that went silent and are tried one by one.
  Scenario: The idle connections to an upstream go silent
    When the idle connections go silent while one slow request runs
    Then one request times out, the next succeeds and the slow one too

  # Guards against an answer of a request that timed out.
  Scenario: An answer comes after the deadline
    When requests time out and others follow on the same connections
    Then each request gets its own answer or a refusal
