Feature: The example files are valid

  # Guards against examples that a change of the validation has made invalid.
  Scenario Outline: An example configuration is valid without a warning
    Then the configuration text "<path>" is valid without a warning

    Examples:
      | path                            |
      | examples/redes-compartidas.json |
      | examples/wibisono-kostum.json   |

  # Guards against example settings with which a node or a command fails to
  # start.
  Scenario: The example settings are valid
    Then the settings "examples/node.json" are valid for a node
    And the settings "examples/client.json" are valid for a client
