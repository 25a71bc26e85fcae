Feature: Changes by operators of the users' platform come into force

  # Guards against requests to a withdrawn zone, and against a zone that stays
  # out of use after the withdrawal ends.
  Scenario: A withdrawn zone gets no requests until it is restored
    Given a platform in zones "a, b" with hosts "h1, h2"
    When operators withdraw zone "a", and later restore it
    Then requests run at "h2" only, and then at "h1" again

  # Guards against a node that keeps an old configuration while it can't reach
  # the store.
  Scenario: A node without the store gets a configuration from its peers
    Given a platform with hosts "h1, h2"
    When "h2" can't reach the store and operators change the route's prefix
    Then "h2" serves the new prefix within 2 s

  # Guards against an older configuration that comes into force when the store
  # has deleted the records that a node has not read yet.
  Scenario: A change survives the loss of the store's history
    Given a platform with hosts "h1"
    When the configuration changes and the store deletes its history
    Then "h1" serves the new prefix within 2 s

  # Guards against an instance that keeps the default limits (one connection, a
  # wrong health path) because its report arrived before the configuration.
  Scenario: An instance that reports before the configuration arrives gets its limits
    Given a platform without a configuration and hosts "h1"
    When the instance of "h1" reports and the configuration arrives 0.5 s later
    Then 4 concurrent requests get responses within 0.2 s
