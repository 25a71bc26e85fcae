Feature: Nodes that start together serve callers soon

  # Guards against callers that are refused because the node that they reach
  # first doesn't know of any instance yet. Each refusal uses up one of the few
  # attempts that a caller has.
  Scenario: Callers are held until the instances are known
    Given 6 hosts that start at once, of which one has an instance
    When a caller sends a request to each node as soon as it listens
    Then each request is answered by the instance within 0.5 s

  # Guards against a node that holds callers for long because a service has no
  # instance at all.
  Scenario: Callers are not held for longer than 0.5 s
    Given 2 hosts that start at once, of which none has an instance
    When a caller sends a request to each node as soon as it listens
    Then each request is refused with 503 within 0.5 s

  # Guards against steps of a start that wait for the next turn of a timer, which
  # add up to a second after a power loss.
  Scenario: Nodes that start together know each other's instances at once
    Given 12 hosts that start at once, of which all have an instance
    When 0.35 s have passed
    Then each node knows the instances of all 12 hosts

  # Guards against a process that ends at each start because an object reads the
  # time of the event loop, which does not run yet when the node is created.
  Scenario: A node with all optional features is created before its event loop
    When a node is created from settings with usage caps, roll-outs and failClosed
    Then it is created without an event loop
