Feature: Requests on the users' platform, with stand-ins for all it has

  # Guards against a path that only works where caller and instance share a host.
  Scenario: A request reaches an instance beside another node
    Given a platform with hosts "h1, h2"
    When the instance of "h2" reports and a caller asks "h1"
    Then the caller gets 200 from the instance of "h2"
    And the instance was told who it is expected to be and who calls

  # Guards against 404 for what a configuration allows that is not known yet.
  Scenario: A node without a configuration answers 503 and is not ready
    Given a platform without a configuration and hosts "h1"
    When a caller asks "h1" and the readiness check comes
    Then the caller gets 503 with a time to come back and the check gets 503

  Scenario: A path without a route gets 404
    Given a platform with hosts "h1"
    When a caller asks for "/other/x" at "h1"
    Then the caller gets 404

  # Guards against a second answer on a kept connection reaching the next
  # caller.
  Scenario: A late second answer is discarded
    Given a platform with hosts "h1"
    When the instance of "h1" repeats the answer to "one" before that to "two"
    Then each caller gets its own answer

  # Guards against work that begins while an instance runs five times slower.
  Scenario: An instance in a slow spell is passed over
    Given a platform with hosts "h1, h2"
    When the instance of "h1" is slow and 8 callers ask "h1" one by one
    Then no request ran at "h1" and all got 200

  # Guards against waiting at an idle but slow instance until the deadline.
  Scenario: A request waits for the end of a spell if all instances are slow
    Given a platform with hosts "h1"
    When the instance of "h1" is slow for 0.15 s while a caller asks
    Then the answer comes within 0.4 s

  # Guards against a cold instance that gets its warm rate from several nodes.
  Scenario: A cold instance gets no more than it can bear from all nodes
    Given a platform with hosts "h1, h2, h3"
    When only the instance of "h1" reports, cold, and 30 callers ask within 1 s
    Then the instance of "h1" ran at most 5 requests

  # Guards against work for an instance that has announced its end.
  Scenario: A leaving instance gets nothing new from any node
    Given a platform with hosts "h1, h2"
    When the instance of "h1" reports that it is draining
    Then requests through both nodes run at "h2" only

  # Guards against a second run of what must run once at most.
  Scenario: A non-idempotent request whose connection broke is not sent again
    Given a platform with a non-idempotent route and hosts "h1, h2"
    When the instances cut the connection of a running request
    Then the caller gets 502 and the request ran once

  Scenario: An idempotent request whose connection broke is sent again
    Given a platform with hosts "h1, h2"
    When the instance of "h1" cuts the connection of a running request
    Then the caller gets 200 and the request ran twice

  # Guards against a wait that goes on until the caller's deadline.
  Scenario: The route's timeout ends the wait
    Given a platform with hosts "h1"
    When work takes 5 s and a caller with a deadline of 9 s asks
    Then the caller gets 504 after 1 s

  # Guards against a request that takes down one instance after the other.
  Scenario: A request that crashes what runs it reaches few instances
    Given a platform with hosts "h1, h2, h3"
    When a request cuts and crashes each instance and comes 6 times
    Then it has run at most 4 times and another request is served

  # Guards against a request that waits for a dead host until its deadline
  # (power lost in a zone, a connection that went silent).
  Scenario: A request on a connection that has gone silent is sent elsewhere
    Given a platform with hosts "h1, h2, h3"
    When the connections between "h1" and the host that served it go silent
    Then each idempotent request is answered within 0.4 s

  # Guards against work for a caller that has gone while the process was
  # paused.
  Scenario: A call that was given up while the node was paused does not run
    Given a platform with hosts "h1, h2"
    When a call to "h2" is closed before "h2" has read it
    Then the instance of "h2" has run nothing

  # Guards against an instance that stands idle while the node beside it, which
  # is restarted alone, ends its work.
  Scenario: The instance beside a stopping node still serves other nodes
    Given a platform with hosts "h1, h2"
    When "h1" is told to stop and 0.5 s later a caller asks "h2", whose instance is gone
    Then the caller gets 200 and the readiness of "h1" is 503
