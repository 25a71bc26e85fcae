Feature: A connection to an upstream carries one exchange at a time

  # Guards against a response that is passed to another request.
  Scenario: An upstream sends more than its response
    When an upstream sends extra bytes after a response, then receives a request
    Then the next request receives its own response on another connection

  # Guards against more connections under load than an upstream accepts.
  Scenario: More requests than connections
    When 40 requests run at once with 64 slots and 5 connections
    Then all receive a response and the upstream never has more than 5 connections

  # Guards against reporting the outcome of a refusal as unknown, and against
  # retrying a request that may have run.
  Scenario Outline: An upstream refuses a request of node <node> as not run
    When the upstream refuses a request of node "<node>" as not run
    Then the caller receives 503 with outcome "not-run"

    Examples:
      | node |
      | a1   |
      | b1   |

  # Guards against a timeout on each idle connection in turn after all of them
  # went silent.
  Scenario: The idle connections to an upstream go silent
    When the idle connections go silent while one slow request runs
    Then one request times out, the next succeeds and so does the slow one

  # Guards against passing the response of a request that timed out to a later
  # request.
  Scenario: A response arrives after the deadline
    When requests time out and others follow on the same connections
    Then each request receives its own response or a refusal
