Feature: Requests on the users' platform, simulated by stand-ins

  # Guards against requests that succeed only if caller and instance share a
  # host.
  Scenario: A request reaches an instance on another host
    Given a platform with hosts "h1, h2"
    When the instance of "h2" reports and a caller sends a request to "h1"
    Then the caller gets 200 from the instance of "h2"
    And the request names the expected instance and the calling service

  # Guards against 404 for a route of a configuration that the node has not
  # received yet.
  Scenario: A node without a configuration responds with 503 and is not ready
    Given a platform without a configuration and hosts "h1"
    When a request and a readiness check are sent to "h1"
    Then the caller gets 503 with a retry delay and the check gets 503

  # Guards against a request outside all prefixes that is sent to an instance,
  # or refused with 503 so that its caller retries it.
  Scenario: A request for a path without a route gets 404
    Given a platform with hosts "h1"
    When a caller requests "/other/x" from "h1"
    Then the caller gets 404

  # Guards against a duplicate response on a reused connection that is sent to
  # the next caller.
  Scenario: A late duplicate response is discarded
    Given a platform with hosts "h1"
    When the instance of "h1" repeats the response to "one" before that to "two"
    Then each caller gets its own response

  # Guards against a caller that is told "not run, try again" for a request that
  # runs, because the instance wrote the refusal of an earlier request once more
  # on a kept connection.
  Scenario Outline: A refusal that is written once more is not taken for another request's
    Given a platform with a non-idempotent route and hosts "h1"
    When the instance of "h1" refuses "one" and writes the refusal <form> before the response to "two"
    Then the caller of "one" gets 503 and it did not run
    And the caller of "two" gets 200 and it ran once

    Examples:
      | form                  |
      | once more             |
      | once more without id  |

  # Guards against the same with a refusal that belongs to no request on the
  # connection, so that only the missing id shows it.
  Scenario: A refusal without an id on a reused connection is not believed
    Given a platform with a non-idempotent route and hosts "h1"
    When the instance of "h1" writes a refusal without id before the response to "two"
    Then the caller of "two" gets 200 and it ran once

  # Guards against requests to an instance that works five times slower than
  # usual.
  Scenario: An instance in a slow period gets no requests
    Given a platform with hosts "h1, h2"
    When the instance of "h1" is slow and 8 requests are sent to "h1" in turn
    Then no request ran at "h1" and all got 200

  # Guards against a request that waits for an idle but slow instance until its
  # deadline.
  Scenario: A request waits for the end of a slow period of all instances
    Given a platform with hosts "h1"
    When the instance of "h1" is slow for 0.15 s while a request waits
    Then the response arrives within 0.4 s

  # Guards against a cold instance that gets its usual load until its next
  # report, because its responses don't show that it has become cold.
  Scenario Outline: An instance that becomes cold between reports gets its cold rate
    Given a platform with hosts "h1"
    When the instance of "h1" reports a load of <figures> figures and becomes cold while it gets <rate> requests a second
    Then it ran at most 12 requests in each second since then

    Examples:
      | figures | rate |
      | 0       | 60   |
      | 3       | 60   |
      | 3       | 120  |
      | 4       | 120  |

  # Guards against a cold instance that gets its permitted rate from each of
  # several nodes.
  Scenario: All nodes together do not exceed the rate of a cold instance
    Given a platform with hosts "h1, h2, h3"
    When the instance of "h1", the only one that reports, is cold and gets 30 requests in 1 s
    Then the instance of "h1" ran at most 5 requests

  # Guards against new requests to an instance that has announced its departure.
  Scenario: A leaving instance gets no new requests from any node
    Given a platform with hosts "h1, h2"
    When the instance of "h1" reports that it is draining
    Then requests through both nodes run at "h2" only

  # Guards against a second run of a request that must run at most once.
  Scenario: A non-idempotent request is not retried after its connection broke
    Given a platform with a non-idempotent route and hosts "h1, h2"
    When the instances close the connection of a running request
    Then the caller gets 502 and the request ran once

  # Guards against a caller that gets an error because one instance broke its
  # connection, although another instance could have run the request.
  Scenario: An idempotent request is retried after its connection broke
    Given a platform with hosts "h1, h2"
    When the instance of "h1" closes the connection of a running request
    Then the caller gets 200 and the request ran twice

  # Guards against a node that waits until the caller's deadline although the
  # route's timeout ends earlier.
  Scenario: The route's timeout ends the wait
    Given a platform with hosts "h1"
    When a request that takes 5 s has a deadline of 9 s
    Then the caller gets 504 after 1 s

  # Guards against a request that crashes one instance after another.
  Scenario: A request that crashes instances reaches few of them
    Given a platform with hosts "h1, h2, h3"
    When a request that crashes each instance is sent 6 times
    Then it has run at most 4 times and another request is served

  # Guards against a request that crashes two more instances after each loss of
  # all nodes, because what they counted was only in their memory.
  Scenario: A request that crashes instances stays blocked after all nodes restart
    Given a platform with hosts "h1, h2, h3"
    When a request that crashes each instance is sent 6 times and all nodes restart halfway
    Then it has run at most 2 times and another request is served

  # Guards against a request that waits for a dead host until its deadline, as
  # after a power loss in a zone: nothing closes the connection.
  Scenario: A request on a silent connection is sent to another host
    Given a platform with hosts "h1, h2, h3"
    When the connections between "h1" and the host that served it go silent
    Then each idempotent request gets a response within 0.4 s

  # Guards against a request that runs although its caller disconnected while
  # the process was paused.
  Scenario: A call whose connection closed before the node read it does not run
    Given a platform with hosts "h1, h2"
    When the connection of a call to "h2" is closed before "h2" has read it
    Then the instance of "h2" has run no request

  # Guards against an instance that stays idle while its node, which is
  # restarted alone, completes its requests.
  Scenario: The instance of a stopping node still serves other nodes
    Given a platform with hosts "h1, h2"
    When "h2", whose instance is draining, gets a request 0.5 s after "h1" starts to shut down
    Then the caller gets 200 and the readiness check of "h1" gets 503
