Feature: What operators write on the users' platform takes force

  # Guards against a withdrawn zone that still gets work.
  Scenario: A withdrawn zone gets nothing and comes back
    Given a platform in zones "a, b" with hosts "h1, h2"
    When operators withdraw zone "a", and later take it back
    Then requests run at "h2" only, and at "h1" again in the end

  # Guards against nodes that each need the store to learn of a change.
  Scenario: A node that the store turns away learns a configuration from peers
    Given a platform with hosts "h1, h2"
    When the store turns "h2" away and operators change the route's prefix
    Then "h2" serves the new prefix within 2 s

  # Guards against a configuration that goes back when the history is lost.
  Scenario: A lost history of the store reverts nothing
    Given a platform with hosts "h1"
    When the configuration changes and the store forgets its history
    Then "h1" serves the new prefix within 2 s

  # Guards against an instance that is served by default limits (one connection,
  # a wrong health path) because its report came before the configuration.
  Scenario: An instance that reports before the configuration gets its limits
    Given a platform without a configuration and hosts "h1"
    When the instance of "h1" reports and the configuration comes 0.5 s later
    Then 4 requests at once are answered within 0.2 s
